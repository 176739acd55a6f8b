package io.lentilslip.wire.relay;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.relay.LedgerEntry;

/**
 * What relays say to each other over their links. Immutable and safe for use by several
 * threads.
 */
public sealed interface PeerMessage {

	/**
	 * The first message of a link: who speaks.
	 *
	 * @param address the address at which the relay takes links
	 */
	record Greeting(String address) implements PeerMessage {

	}

	/**
	 * Entries that the relay writes to the log.
	 *
	 * @param entries the entries
	 */
	record Batch(List<LedgerEntry> entries) implements PeerMessage {

		/**
		 * Creates a batch.
		 * @param entries the entries
		 */
		public Batch {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * The relay can't write turns to the log and asks for help with it.
	 *
	 * @param requests the turns
	 */
	record Help(Set<String> requests) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param requests the turns
		 */
		public Help {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * The log has turns that the other relay asked for help with.
	 *
	 * @param requests the turns
	 */
	record Stored(Set<String> requests) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param requests the turns
		 */
		public Stored {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * The relay is alive.
	 */
	record Pulse() implements PeerMessage {

	}

}
