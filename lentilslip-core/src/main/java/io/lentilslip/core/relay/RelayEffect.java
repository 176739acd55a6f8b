package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;

/**
 * What a relay wants done. Immutable and safe for use by several threads.
 */
public sealed interface RelayEffect {

	/**
	 * Send a request to an upstream.
	 *
	 * @param exchange the exchange
	 * @param attempt the number of the attempt
	 * @param upstream the upstream
	 * @param chain what stands before the caller's body; shared, never written to
	 * @param left the time that is left for the request
	 * @param lastEvent the last event that the caller has
	 * @param stream whether the answer is passed on as it comes
	 * @param caller whose request it is
	 */
	record SendRequest(long exchange, int attempt, Upstream upstream, byte[] prefix, Duration timeout,
			OptionalLong lastEvent, boolean stream, CallerIdentity caller) implements RelayEffect {

	}

	/**
	 * Ask another relay for permits of a team.
	 *
	 * @param peer the other relay
	 * @param ask what is asked for
	 */
	record RequestPermits(String peer, PermitRequest request) implements RelayEffect {

	}

	/**
	 * Grant another relay permits of a team.
	 *
	 * @param peer the other relay
	 * @param reply what is granted
	 */
	record GrantPermits(String peer, PermitReply reply) implements RelayEffect {

	}

	/**
	 * Give up an attempt, so that its upstream stops working on it.
	 *
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record CancelAttempt(long exchange, int attempt) implements RelayEffect {

	}

	/**
	 * Give the caller the whole answer of an upstream.
	 *
	 * @param exchange the exchange
	 * @param head the head
	 * @param body the body
	 */
	record SendResponse(long exchange, ResponseHead head, byte[] body) implements RelayEffect {

	}

	/**
	 * Give the caller the head of a stream.
	 *
	 * @param exchange the exchange
	 * @param head the head
	 */
	record OpenStream(long exchange, ResponseHead head) implements RelayEffect {

	}

	/**
	 * Give the caller an event of a stream.
	 *
	 * @param exchange the exchange
	 * @param raw the bytes of the event
	 */
	record ForwardStreamEvent(long exchange, byte[] raw) implements RelayEffect {

	}

	/**
	 * End the caller's stream as complete.
	 *
	 * @param exchange the exchange
	 */
	record EndStream(long exchange) implements RelayEffect {

	}

	/**
	 * End the caller's connection, so that a part of an answer doesn't look complete.
	 *
	 * @param exchange the exchange
	 */
	record AbortConnection(long exchange) implements RelayEffect {

	}

	/**
	 * Give the caller an answer of the relay's own.
	 *
	 * @param exchange the exchange
	 * @param refusal why
	 * @param comeBack when the caller may try again
	 */
	record Refuse(long exchange, Refusal refusal, Optional<Duration> retryAfter) implements RelayEffect {

	}

	/**
	 * Write an entry to the log, and tell it to relays that can't wait for it to be
	 * there.
	 *
	 * @param entry the entry
	 * @param tell the relays that are told
	 */
	record AppendEntry(LedgerEntry entry, List<String> replicas) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param entry the entry
		 * @param tell the relays that are told
		 */
		public AppendEntry {
			replicas = List.copyOf(replicas);
		}

	}

	/**
	 * Write the text of a turn to the log, to this relay's partition of the texts.
	 *
	 * @param request the turn
	 * @param text its text
	 */
	record StoreText(String request, StoredTurn text) implements RelayEffect {

	}

	/**
	 * Read the text of a turn from the log.
	 *
	 * @param request the turn
	 * @param places where it may stand
	 */
	record ReadText(String request, List<TextLocation> locations) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param request the turn
		 * @param places where it may stand
		 */
		public ReadText {
			locations = List.copyOf(locations);
		}

	}

	/**
	 * Ask other relays where the texts of a chain are.
	 *
	 * @param peers the other relays
	 * @param request the last turn of the chain
	 */
	record RequestTextLocations(List<String> peers, String request) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peers the other relays
		 * @param request the last turn of the chain
		 */
		public RequestTextLocations {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * Tell another relay where the texts of a chain are.
	 *
	 * @param peer the other relay
	 * @param turns the turns of the chain that are known here
	 */
	record SendTextLocations(String peer, List<TurnLocation> turns) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param turns the turns of the chain that are known here
		 */
		public SendTextLocations {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * Ask the relay that ran a turn for texts of its chain.
	 *
	 * @param peer the other relay
	 * @param requests the turns
	 */
	record RequestTexts(String peer, List<String> requests) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param requests the turns
		 */
		public RequestTexts {
			requests = List.copyOf(requests);
		}

	}

	/**
	 * Send another relay the texts that it asked for.
	 *
	 * @param peer the other relay
	 * @param texts those that are in memory
	 */
	record SendTexts(String peer, List<TurnText> texts) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param texts those that are in memory
		 */
		public SendTexts {
			texts = List.copyOf(texts);
		}

	}

	/**
	 * Ask other relays to write a turn to the log.
	 *
	 * @param end what the turn has taken of its program's budget
	 * @param text its text
	 */
	record RequestTurnWrite(LedgerEntry.Settled settlement, StoredTurn text) implements RelayEffect {

	}

	/**
	 * Tell another relay that the log has a turn that it asked for help with.
	 *
	 * @param peer the other relay
	 * @param request the turn
	 */
	record AcknowledgeTurnWrite(String peer, String request) implements RelayEffect {

	}

	/**
	 * Ask other relays what is taken of a program's budget, and have them hold a turn
	 * back from it.
	 *
	 * @param peers the relays; empty for all
	 * @param request the turn that is to run
	 * @param program the program
	 * @param most the most tokens of the turn
	 * @param budget the program's budget
	 */
	record RequestReservation(List<String> peers, String request, String program, int maxTokens,
			long budget) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peers the relays; empty for all
		 * @param request the turn that is to run
		 * @param program the program
		 * @param most the most tokens of the turn
		 * @param budget the program's budget
		 */
		public RequestReservation {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * Ask another relay, which reaches the log, to get a turn a place there.
	 *
	 * @param peer the other relay
	 * @param request the turn that is to run
	 * @param program the program
	 * @param most the most tokens of the turn
	 * @param budget the program's budget
	 */
	record RequestLogReservation(String peer, String request, String program, int maxTokens,
			long budget) implements RelayEffect {

	}

	/**
	 * Tell another relay what is taken of a program's budget, after the entries that it
	 * may not have heard of.
	 *
	 * @param peer the other relay
	 * @param request the turn for which it asked
	 * @param tokens the tokens that are spent or held back
	 * @param unlogged how many of them the log has not shown
	 * @param log whether this relay reaches the log, and can get the turn a place there
	 * @param entries entries of the program that the log has not shown
	 * @param loads what upstreams said of their load last
	 */
	record SendUsage(String peer, String request, long tokens, long uncommitted, boolean logReachable,
			List<LedgerEntry> entries, List<UpstreamLoad> loads) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param request the turn for which it asked
		 * @param tokens the tokens that are spent or held back
		 * @param unlogged how many of them the log has not shown
		 * @param log whether this relay reaches the log, and can get the turn a place
		 * there
		 * @param entries entries of the program that the log has not shown
		 * @param loads what upstreams said of their load last
		 */
		public SendUsage {
			entries = List.copyOf(entries);
			loads = List.copyOf(loads);
		}

	}

	/**
	 * Tell another relay that its turn is held back here, and that this relay may miss
	 * turns and can't say what is taken.
	 *
	 * @param peer the other relay
	 * @param request the turn for which it asked
	 */
	record SendUsageUnavailable(String peer, String request) implements RelayEffect {

	}

	/**
	 * Ask all other relays for what they know beyond the log.
	 */
	record RequestSync() implements RelayEffect {

	}

	/**
	 * Tell another relay what the log's order decided for its turn.
	 *
	 * @param peer the other relay
	 * @param request the turn
	 * @param held whether the program's budget holds it
	 */
	record SendLogDecision(String peer, String request, boolean admitted) implements RelayEffect {

	}

	/**
	 * Tell another relay what this one knows beyond the log of programs that the other
	 * one keeps.
	 *
	 * @param peer the other relay
	 * @param entries entries of others that the log has not shown
	 * @param complete whether this relay misses nothing
	 */
	record SendSync(String peer, List<LedgerEntry> entries, boolean complete) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param entries entries of others that the log has not shown
		 * @param complete whether this relay misses nothing
		 */
		public SendSync {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Read the log now rather than at the next regular time.
	 */
	record ReadLog() implements RelayEffect {

	}

	/**
	 * Read the log up to its end as it is now, and say when it is reached.
	 */
	record CatchUp() implements RelayEffect {

	}

	/**
	 * Remind an exchange later.
	 *
	 * @param exchange the exchange
	 * @param delay when
	 * @param reminder what for
	 */
	record StartTimer(long exchange, Duration delay, RelayEvent.TimerKind timer) implements RelayEffect {

	}

	/**
	 * Tell the platform whether the relay takes requests.
	 *
	 * @param ready whether it does
	 */
	record ReportReadiness(boolean ready) implements RelayEffect {

	}

	/**
	 * Put the limits of a new table in force.
	 *
	 * @param limits the limits
	 */
	record ApplyLimits(RouteTable.Limits limits) implements RelayEffect {

	}

	/**
	 * Count a measurement.
	 *
	 * @param measurement the measurement
	 */
	record RecordMeasurement(Measurement measurement) implements RelayEffect {

	}

	/**
	 * Write a notice.
	 *
	 * @param notice the notice
	 */
	record WriteNotice(Notice notice) implements RelayEffect {

	}

}
