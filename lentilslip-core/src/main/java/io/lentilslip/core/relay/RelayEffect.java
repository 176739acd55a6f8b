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
 * Action that a relay requests from its process. Immutable and safe for use by several
 * threads.
 */
public sealed interface RelayEffect {

	/**
	 * Sends a request to an upstream.
	 *
	 * @param exchange the exchange
	 * @param attempt the number of the attempt
	 * @param upstream the upstream
	 * @param prefix the bytes sent before the caller's body; shared and never modified
	 * @param deadline the time at which the caller stops waiting, in milliseconds of the
	 * monotonic clock
	 * @param lastEvent the number of the last event that the caller received
	 * @param stream whether the response is streamed
	 * @param caller the caller of the request
	 */
	record SendRequest(long exchange, int attempt, Upstream upstream, byte[] prefix, long deadline,
			OptionalLong lastEvent, boolean stream, CallerIdentity caller) implements RelayEffect {

	}

	/**
	 * Requests the software version of a stream from other relays.
	 *
	 * @param peers the other relays
	 * @param request the request that started the stream
	 */
	record RequestStreamVersion(List<String> peers, String request) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peers the other relays
		 * @param request the request that started the stream
		 */
		public RequestStreamVersion {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * Sends the software version of a stream to another relay.
	 *
	 * @param peer the other relay
	 * @param run the run that started the stream
	 * @param attempt its last attempt
	 */
	record SendStreamVersion(String peer, RunId run, StreamAttempt attempt) implements RelayEffect {

	}

	/**
	 * Reads the list of upstreams up to its current end, and reports when that is
	 * reached. Nothing is reported if the read fails.
	 *
	 * @param confirmation the number of the request
	 */
	record ConfirmUpstreams(long confirmation) implements RelayEffect {

	}

	/**
	 * Requests permits of a team from another relay.
	 *
	 * @param peer the other relay
	 * @param request the request
	 */
	record RequestPermits(String peer, PermitRequest request) implements RelayEffect {

	}

	/**
	 * Grants permits of a team to another relay.
	 *
	 * @param peer the other relay
	 * @param reply the granted permits
	 */
	record GrantPermits(String peer, PermitReply reply) implements RelayEffect {

	}

	/**
	 * Cancels an attempt, so that the upstream stops running it.
	 *
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record CancelAttempt(long exchange, int attempt) implements RelayEffect {

	}

	/**
	 * Sends the complete response of an upstream to the caller.
	 *
	 * @param exchange the exchange
	 * @param head the head
	 * @param body the body
	 */
	record SendResponse(long exchange, ResponseHead head, byte[] body) implements RelayEffect {

	}

	/**
	 * Sends the head of a streamed response to the caller.
	 *
	 * @param exchange the exchange
	 * @param head the head
	 */
	record OpenStream(long exchange, ResponseHead head) implements RelayEffect {

	}

	/**
	 * Forwards an event of a stream to the caller.
	 *
	 * @param exchange the exchange
	 * @param raw the bytes of the event
	 */
	record ForwardStreamEvent(long exchange, byte[] raw) implements RelayEffect {

	}

	/**
	 * Ends the caller's stream as complete.
	 *
	 * @param exchange the exchange
	 */
	record EndStream(long exchange) implements RelayEffect {

	}

	/**
	 * Aborts the caller's connection, so that a partial response doesn't look complete.
	 *
	 * @param exchange the exchange
	 */
	record AbortConnection(long exchange) implements RelayEffect {

	}

	/**
	 * Sends a refusal of the relay itself to the caller.
	 *
	 * @param exchange the exchange
	 * @param refusal the reason
	 * @param retryAfter the delay after which the caller may retry; empty if none is
	 * suggested
	 */
	record Refuse(long exchange, Refusal refusal, Optional<Duration> retryAfter) implements RelayEffect {

	}

	/**
	 * Append all queued ledger entries now.
	 */
	record FlushEntries() implements RelayEffect {

	}

	/**
	 * Appends an entry to the log, and replicates it directly to relays that can't wait
	 * for the log.
	 *
	 * @param entry the entry
	 * @param replicas the relays that receive it directly
	 */
	record AppendEntry(LedgerEntry entry, List<String> replicas) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param entry the entry
		 * @param replicas the relays that receive it directly
		 */
		public AppendEntry {
			replicas = List.copyOf(replicas);
		}

	}

	/**
	 * Appends the text of a turn to this relay's text partition of the log.
	 *
	 * @param request the turn
	 * @param text its text
	 */
	record StoreText(String request, StoredTurn text) implements RelayEffect {

	}

	/**
	 * Reads the text of a turn from the log.
	 *
	 * @param request the turn
	 * @param locations its possible locations
	 */
	record ReadText(String request, List<TextLocation> locations) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param request the turn
		 * @param locations its possible locations
		 */
		public ReadText {
			locations = List.copyOf(locations);
		}

	}

	/**
	 * Requests the locations of the texts of a chain from other relays.
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
	 * Sends the locations of the texts of a chain to another relay.
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
	 * Requests texts of a chain from the relay that ran a turn of it.
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
	 * Sends another relay the texts that it requested.
	 *
	 * @param peer the other relay
	 * @param texts those that are cached
	 */
	record SendTexts(String peer, List<TurnText> texts) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param texts those that are cached
		 */
		public SendTexts {
			texts = List.copyOf(texts);
		}

	}

	/**
	 * Requests that other relays write a turn to the log.
	 *
	 * @param settlement the settlement of the turn
	 * @param text its text
	 */
	record RequestTurnWrite(LedgerEntry.Settled settlement, StoredTurn text) implements RelayEffect {

	}

	/**
	 * Acknowledges to another relay that its turn is stored in the log.
	 *
	 * @param peer the other relay
	 * @param request the turn
	 */
	record AcknowledgeTurnWrite(String peer, String request) implements RelayEffect {

	}

	/**
	 * Requests that other relays reserve a turn in its program's budget and report the
	 * program's usage.
	 *
	 * @param peers the relays; empty for all
	 * @param run the turn
	 * @param program the program
	 * @param maxTokens the maximum tokens of the turn
	 * @param budget the program's budget in tokens
	 */
	record RequestReservation(List<String> peers, RunId run, String program, int maxTokens,
			long budget) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peers the relays; empty for all
		 * @param run the turn
		 * @param program the program
		 * @param maxTokens the maximum tokens of the turn
		 * @param budget the program's budget in tokens
		 */
		public RequestReservation {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * Requests that another relay, which reaches the log, reserves a turn there.
	 *
	 * @param peer the other relay
	 * @param run the turn
	 * @param program the program
	 * @param maxTokens the maximum tokens of the turn
	 * @param budget the program's budget in tokens
	 */
	record RequestLogReservation(String peer, RunId run, String program, int maxTokens,
			long budget) implements RelayEffect {

	}

	/**
	 * Sends the usage of a program to another relay, preceded by entries that the other
	 * relay may not have.
	 *
	 * @param peer the other relay
	 * @param run the turn of the other relay
	 * @param tokens the tokens that are spent or reserved, the turn included
	 * @param uncommitted the part of them that is not in the log yet
	 * @param logReachable whether this relay reaches the log and can reserve the turn
	 * there
	 * @param entries the uncommitted entries of the program
	 * @param loads the latest loads that upstreams reported
	 */
	record SendUsage(String peer, RunId run, long tokens, long uncommitted, boolean logReachable,
			List<LedgerEntry> entries, List<UpstreamLoad> loads) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param run the turn of the other relay
		 * @param tokens the tokens that are spent or reserved, the turn included
		 * @param uncommitted the part of them that is not in the log yet
		 * @param logReachable whether this relay reaches the log and can reserve the turn
		 * there
		 * @param entries the uncommitted entries of the program
		 * @param loads the latest loads that upstreams reported
		 */
		public SendUsage {
			entries = List.copyOf(entries);
			loads = List.copyOf(loads);
		}

	}

	/**
	 * Reports to another relay that its turn is reserved here, but that the usage is
	 * unavailable because entries may be missing.
	 *
	 * @param peer the other relay
	 * @param run the turn of the other relay
	 */
	record SendUsageUnavailable(String peer, RunId run) implements RelayEffect {

	}

	/**
	 * Requests the uncommitted entries of all other relays.
	 */
	record RequestSync() implements RelayEffect {

	}

	/**
	 * Sends another relay the decision on its turn in the order of the log.
	 *
	 * @param peer the other relay
	 * @param run the turn
	 * @param admitted whether the program's budget admits it
	 */
	record SendLogDecision(String peer, RunId run, boolean admitted) implements RelayEffect {

	}

	/**
	 * Sends another relay the uncommitted entries of the programs that it is a replica
	 * of.
	 *
	 * @param peer the other relay
	 * @param entries the uncommitted entries
	 * @param complete whether the ledger of this relay is complete
	 */
	record SendSync(String peer, List<LedgerEntry> entries, boolean complete) implements RelayEffect {

		/**
		 * Creates an effect.
		 * @param peer the other relay
		 * @param entries the uncommitted entries
		 * @param complete whether the ledger of this relay is complete
		 */
		public SendSync {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Reads the log immediately instead of at the next poll interval.
	 */
	record ReadLog() implements RelayEffect {

	}

	/**
	 * Connects to an upstream to find out whether it still accepts connections, and
	 * reports that in an {@link RelayEvent.UpstreamProbed} event.
	 *
	 * @param upstream the upstream
	 * @param delay the time to wait before
	 */
	record ProbeUpstream(Upstream upstream, Duration delay) implements RelayEffect {

	}

	/**
	 * Reads the log up to its current end, and reports when that is reached.
	 */
	record CatchUp() implements RelayEffect {

	}

	/**
	 * Starts a timer of an exchange.
	 *
	 * @param exchange the exchange
	 * @param delay the delay
	 * @param timer the kind of the timer
	 */
	record StartTimer(long exchange, Duration delay, RelayEvent.TimerKind timer) implements RelayEffect {

	}

	/**
	 * Reports the readiness of the relay to the platform.
	 *
	 * @param ready whether the relay accepts requests
	 */
	record ReportReadiness(boolean ready) implements RelayEffect {

	}

	/**
	 * Applies the limits of a new route table.
	 *
	 * @param limits the limits
	 */
	record ApplyLimits(RouteTable.Limits limits) implements RelayEffect {

	}

	/**
	 * Records a measurement.
	 *
	 * @param measurement the measurement
	 */
	record RecordMeasurement(Measurement measurement) implements RelayEffect {

	}

	/**
	 * Writes a notice.
	 *
	 * @param notice the notice
	 */
	record WriteNotice(Notice notice) implements RelayEffect {

	}

}
