package io.lentilslip.wire.relay;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.StreamAttempt;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.UpstreamLoad;

/**
 * Messages that relays exchange over their links. Immutable and safe for use by several
 * threads.
 */
public sealed interface PeerMessage {

	/**
	 * The first message on a link, which identifies the sender.
	 *
	 * @param address the address at which the sender accepts links
	 */
	record Greeting(String address) implements PeerMessage {

	}

	/**
	 * Entries that the sender replicates.
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
	 * Request for the software version of a stream.
	 *
	 * @param request the request that started the stream
	 */
	record StreamVersionRequest(String request) implements PeerMessage {

	}

	/**
	 * The software version of a stream.
	 *
	 * @param run the run that started the stream
	 * @param attempt its last attempt that the sender knows
	 */
	record StreamVersion(RunId run, StreamAttempt attempt) implements PeerMessage {

	}

	/**
	 * Request to write a turn to the log, since the sender cannot.
	 *
	 * @param settlement the settlement of the turn
	 * @param text the text of the turn
	 */
	record TurnWriteRequest(LedgerEntry.Settled settlement, StoredTurn text) implements PeerMessage {

	}

	/**
	 * Request for the text locations of a chain, since the sender cannot read the log.
	 *
	 * @param request the last turn of the chain
	 */
	record TextLocationsRequest(String request) implements PeerMessage {

	}

	/**
	 * The text locations of a chain.
	 *
	 * @param turns the turns of the chain that the sender knows
	 */
	record TextLocations(List<TurnLocation> turns) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param turns the turns of the chain that the sender knows
		 */
		public TextLocations {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * Request for texts of turns that the receiver ran.
	 *
	 * @param requests the turns
	 */
	record TextsRequest(Set<String> requests) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param requests the turns
		 */
		public TextsRequest {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * The requested texts that the sender has in memory.
	 *
	 * @param turns the texts
	 */
	record Texts(List<TurnText> turns) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param turns the texts
		 */
		public Texts {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * Acknowledges that turns were written to the log on behalf of the receiver.
	 *
	 * @param requests the turns
	 */
	record TurnWriteAck(Set<String> requests) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param requests the turns
		 */
		public TurnWriteAck {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Request to reserve tokens for a turn before it runs, and to return the usage of its
	 * program. The response covers all entries sent earlier on the same link.
	 *
	 * @param run the turn
	 * @param program the program
	 * @param maxTokens the maximum number of tokens of the turn
	 * @param budget the budget of the program
	 * @param throughLog whether the reservation is to be decided by the order of the log,
	 * instead of an immediate response
	 */
	record ReservationRequest(RunId run, String program, int maxTokens, long budget,
			boolean throughLog) implements PeerMessage {

	}

	/**
	 * The usage of a program, in response to a reservation request.
	 *
	 * @param run the turn of the request
	 * @param tokens the number of tokens used or reserved
	 * @param uncommitted how many of them the sender has not read from the log
	 * @param logReachable whether the sender reaches the log and can write a reservation
	 * to it
	 * @param loads the latest loads that upstreams reported
	 */
	record Usage(RunId run, long tokens, long uncommitted, boolean logReachable,
			List<UpstreamLoad> loads) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param run the turn of the request
		 * @param tokens the number of tokens used or reserved
		 * @param uncommitted how many of them the sender has not read from the log
		 * @param logReachable whether the sender reaches the log and can write a
		 * reservation to it
		 * @param loads the latest loads that upstreams reported
		 */
		public Usage {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The sender has reserved tokens for a turn, but cannot state the usage, since it may
	 * lack entries.
	 *
	 * @param run the turn of the reservation request
	 */
	record UsageUnavailable(RunId run) implements PeerMessage {

	}

	/**
	 * Request for uncommitted entries from a sender that may lack entries.
	 */
	record SyncRequest() implements PeerMessage {

	}

	/**
	 * The decision by the order of the log on a turn of a relay that does not reach the
	 * log.
	 *
	 * @param run the turn
	 * @param admitted whether the turn is within the budget of the program
	 */
	record LogDecision(RunId run, boolean admitted) implements PeerMessage {

	}

	/**
	 * The sender, which lacks no entries itself, has sent all uncommitted entries that it
	 * knows.
	 */
	record SyncComplete() implements PeerMessage {

	}

	/**
	 * Request for permits of a team.
	 *
	 * @param request the request
	 */
	record PermitsRequest(PermitRequest request) implements PeerMessage {

	}

	/**
	 * Permits of a team that the sender grants.
	 *
	 * @param reply the granted permits
	 */
	record PermitsGranted(PermitReply reply) implements PeerMessage {

	}

	/**
	 * A message of another version that cannot be interpreted.
	 */
	record Unknown() implements PeerMessage {

	}

	/**
	 * Shows that the sender is alive.
	 */
	record Heartbeat() implements PeerMessage {

	}

}
