package io.lentilslip.wire.relay;

import java.util.List;

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
	 * @param number the number of the batch on this link, from 1
	 * @param entries the entries
	 */
	record Batch(long number, List<LedgerEntry> entries) implements PeerMessage {

		/**
		 * Creates a batch.
		 * @param number the number of the batch on this link, from 1
		 * @param entries the entries
		 */
		public Batch {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * The relay holds the entries of a batch.
	 *
	 * @param number the number of the batch on this link
	 */
	record Receipt(long number) implements PeerMessage {

	}

	/**
	 * The relay is alive.
	 */
	record Pulse() implements PeerMessage {

	}

}
