package io.lentilslip.wire.relay;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.UpstreamLoad;

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
	 * The relay can't write a turn to the log and asks for help with it.
	 *
	 * @param end what the turn has taken of its program's budget
	 * @param text its text
	 */
	record TurnWriteRequest(LedgerEntry.Settled settlement, StoredTurn text) implements PeerMessage {

	}

	/**
	 * The relay can't read the log, and asks where the texts of a chain are.
	 *
	 * @param request the last turn of the chain
	 */
	record TextLocationsRequest(String request) implements PeerMessage {

	}

	/**
	 * Where the texts of a chain are.
	 *
	 * @param turns the turns of the chain that the relay knows
	 */
	record TextLocations(List<TurnLocation> turns) implements PeerMessage {

		/**
		 * Creates a message.
		 * @param turns the turns of the chain that the relay knows
		 */
		public TextLocations {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * The relay asks for texts of turns that the other one ran.
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
	 * Texts that the other relay asked for, as far as they are in memory.
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
	 * The log has turns that the other relay asked for help with.
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
	 * The relay asks what is taken of a program's budget before a turn runs, and has the
	 * turn held back from it. All that it told before on the same link is part of the
	 * answer.
	 *
	 * @param request the turn
	 * @param program the program
	 * @param most the most tokens of the turn
	 * @param budget the program's budget
	 * @param place whether a place in the log is asked for, instead of an answer at once
	 */
	record ReservationRequest(String request, String program, int maxTokens, long budget,
			boolean throughLog) implements PeerMessage {

	}

	/**
	 * The answer to a question.
	 *
	 * @param request the turn
	 * @param tokens the tokens that are spent or held back
	 * @param unlogged how many of them the log has not shown
	 * @param log whether the relay reaches the log, and can get the turn a place there
	 * @param loads what upstreams said of their load last
	 */
	record Usage(String request, long tokens, long uncommitted, boolean logReachable,
			List<UpstreamLoad> loads) implements PeerMessage {

		/**
		 * Creates an answer.
		 * @param request the turn
		 * @param tokens the tokens that are spent or held back
		 * @param unlogged how many of them the log has not shown
		 * @param log whether the relay reaches the log, and can get the turn a place
		 * there
		 * @param loads what upstreams said of their load last
		 */
		public Usage {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The turn of a question is held back, and the relay can't say what is taken: it may
	 * miss turns.
	 *
	 * @param request the turn
	 */
	record UsageUnavailable(String request) implements PeerMessage {

	}

	/**
	 * The relay may miss turns, and asks for what the log has not shown.
	 */
	record SyncRequest() implements PeerMessage {

	}

	/**
	 * What the log's order decided for a turn of a relay that does not reach the log.
	 *
	 * @param request the turn
	 * @param held whether the program's budget holds it
	 */
	record LogDecision(String request, boolean admitted) implements PeerMessage {

	}

	/**
	 * All that the relay knows beyond the log was told before this, by a relay that
	 * misses nothing itself.
	 */
	record SyncComplete() implements PeerMessage {

	}

	/**
	 * The relay asks for permits of a team.
	 *
	 * @param ask what it asks for
	 */
	record PermitsRequest(PermitRequest request) implements PeerMessage {

	}

	/**
	 * The relay grants permits of a team.
	 *
	 * @param reply what it grants
	 */
	record PermitsGranted(PermitReply reply) implements PeerMessage {

	}

	/**
	 * A message of another version, without meaning here.
	 */
	record Unknown() implements PeerMessage {

	}

	/**
	 * The relay is alive.
	 */
	record Heartbeat() implements PeerMessage {

	}

}
