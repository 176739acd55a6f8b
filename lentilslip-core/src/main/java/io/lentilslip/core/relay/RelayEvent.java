package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;

/**
 * Event that a relay handles. Times are milliseconds of a monotonic clock. Immutable and
 * safe for use by several threads.
 */
public sealed interface RelayEvent {

	/**
	 * Returns the time of the event.
	 * @return milliseconds of a monotonic clock
	 */
	long now();

	/**
	 * An event of one exchange with a caller. Ignored once the exchange has ended.
	 */
	sealed interface ExchangeEvent extends RelayEvent {

		/**
		 * Returns the exchange.
		 * @return its number
		 */
		long exchange();

	}

	/**
	 * An event of one attempt at an upstream. Ignored once the attempt was cancelled, so
	 * a late response has no effect.
	 */
	sealed interface AttemptEvent extends ExchangeEvent {

		/**
		 * Returns the attempt.
		 * @return its number in the exchange, starting at 1
		 */
		int attempt();

	}

	/**
	 * A caller's request was received completely.
	 *
	 * @param now the time of the event
	 * @param headReadAt the time at which its head was read, from which the caller's
	 * timeout counts
	 * @param exchange the exchange
	 * @param head the head of the request
	 * @param body its body; shared and never modified
	 * @param digest a digest of path, caller and body, equal for all retries
	 */
	record RequestReceived(long now, long headReadAt, long exchange, RequestHead head, byte[] body,
			long digest) implements ExchangeEvent {

	}

	/**
	 * Another relay requests permits of a team.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param request the request
	 */
	record PermitsRequested(long now, String peer, PermitRequest request) implements RelayEvent {

	}

	/**
	 * Another relay granted permits of a team.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param reply the granted permits
	 */
	record PermitsGranted(long now, String peer, PermitReply reply) implements RelayEvent {

	}

	/**
	 * The caller reads its response more slowly than it arrives, or reads again.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param blocked whether reading from the upstream is paused for it
	 */
	record CallerBlocked(long now, long exchange, boolean blocked) implements ExchangeEvent {

	}

	/**
	 * The caller closed its connection.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 */
	record CallerDisconnected(long now, long exchange) implements ExchangeEvent {

	}

	/**
	 * A timer of an exchange fired.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param timer the kind of the timer
	 */
	record TimerFired(long now, long exchange, TimerKind timer) implements ExchangeEvent {

	}

	/**
	 * The process was asked to stop.
	 *
	 * @param now the time of the event
	 * @param sendsUntil the time until which requests are sent to upstreams if they
	 * usually end in time
	 * @param endsAt the time at which the process ends whatever is in flight
	 */
	record DrainStarted(long now, long sendsUntil, long endsAt) implements RelayEvent {

	}

	/**
	 * The process is about to end.
	 *
	 * @param now the time of the event
	 */
	record DrainEnded(long now) implements RelayEvent {

	}

	/**
	 * A request was written to a connection to its upstream.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record RequestWritten(long now, long exchange, int attempt) implements AttemptEvent {

	}

	/**
	 * The complete response of an upstream was received.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param head its head
	 * @param body its body
	 */
	record ResponseReceived(long now, long exchange, int attempt, ResponseHead head,
			byte[] body) implements AttemptEvent {

	}

	/**
	 * The head of a streamed response was received.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param head its head
	 */
	record StreamOpened(long now, long exchange, int attempt, ResponseHead head) implements AttemptEvent {

	}

	/**
	 * A complete event of a stream was received.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param number its number
	 * @param raw its bytes as received
	 * @param data its data
	 */
	record StreamEventReceived(long now, long exchange, int attempt, long number, byte[] raw,
			byte[] data) implements AttemptEvent {

	}

	/**
	 * A stream ended with its regular end.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record StreamEnded(long now, long exchange, int attempt) implements AttemptEvent {

	}

	/**
	 * An attempt failed without a complete response.
	 *
	 * @param now the time of the event
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param cause the cause
	 */
	record AttemptFailed(long now, long exchange, int attempt, FailureCause cause) implements AttemptEvent {

	}

	/**
	 * Ledger entries were read from the log, or received from another relay.
	 *
	 * @param now the time of the event
	 * @param entries the entries
	 * @param sender the relay that sent them; empty if they were read from the log, in
	 * the order that all relays read
	 * @param ages how long ago each entry was written; empty if they were just written
	 */
	record EntriesReceived(long now, List<LedgerEntry> entries, Optional<String> sender,
			List<Duration> ages) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param entries the entries
		 * @param sender the relay that sent them; empty if they were read from the log,
		 * in the order that all relays read
		 * @param ages how long ago each entry was written; empty if they were just
		 * written
		 */
		public EntriesReceived {
			entries = List.copyOf(entries);
			ages = List.copyOf(ages);
		}

		/**
		 * Creates an event of entries that were just written.
		 * @param now the time of the event
		 * @param entries the entries
		 * @param sender the relay that sent them; empty if they were read from the log
		 */
		public EntriesReceived(long now, List<LedgerEntry> entries, Optional<String> sender) {
			this(now, entries, sender, List.of());
		}

		/**
		 * Returns when an entry was written.
		 * @param index the index of the entry
		 * @return milliseconds of the monotonic clock
		 */
		long writtenAt(int index) {
			return this.now - (this.ages.isEmpty() ? 0 : this.ages.get(index).toMillis());
		}

		/**
		 * Returns whether the entries were read from the log.
		 * @return whether they were
		 */
		boolean fromLog() {
			return this.sender.isEmpty();
		}

	}

	/**
	 * The log has settlements that repeat earlier ones.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param runs the turns
	 */
	record RenewalsStored(long now, Set<RunId> runs) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now milliseconds of a monotonic clock
		 * @param runs the turns
		 */
		public RenewalsStored {
			runs = Set.copyOf(runs);
		}

	}

	/**
	 * The log has the attempts of streams that this relay sent.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param attempts the number of the last stored attempt of each run
	 */
	record StreamAttemptsStored(long now, Map<RunId, Integer> attempts) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now milliseconds of a monotonic clock
		 * @param attempts the number of the last stored attempt of each run
		 */
		public StreamAttemptsStored {
			attempts = Map.copyOf(attempts);
		}

	}

	/**
	 * It is time to renew the turns whose records in the log are about to expire.
	 *
	 * @param now milliseconds of a monotonic clock
	 */
	record RenewalRoundStarted(long now) implements RelayEvent {

	}

	/**
	 * Another relay asks for the software version of a stream.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param peer the other relay
	 * @param request the request that started the stream
	 */
	record StreamVersionRequested(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay has sent the software version of a stream.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param run the run that started the stream
	 * @param attempt its last attempt
	 */
	record StreamVersionReceived(long now, RunId run, StreamAttempt attempt) implements RelayEvent {

	}

	/**
	 * A read of the log has reached its end. Its entries were received before.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param sentAt when the read was sent
	 */
	record LogEndRead(long now, long sentAt) implements RelayEvent {

	}

	/**
	 * The list of upstreams and the route table are complete as of a time after that was
	 * requested.
	 *
	 * @param now milliseconds of a monotonic clock
	 * @param confirmation the number of the request
	 */
	record UpstreamsConfirmed(long now, long confirmation) implements RelayEvent {

	}

	/**
	 * Changes of the list of upstreams were deleted before they were read, so that
	 * upstreams may have joined and left in the meantime. The complete list follows.
	 *
	 * @param now milliseconds of a monotonic clock
	 */
	record UpstreamChangesMissed(long now) implements RelayEvent {

	}

	/**
	 * This process resumed after it was frozen, suspended or starved of processor time.
	 * Its state may be stale by the length of that pause.
	 *
	 * @param now the time of the event
	 * @param pause the maximum length of the pause
	 */
	record ProcessResumed(long now, Duration pause) implements RelayEvent {

	}

	/**
	 * The log was read up to its end, for the first time since the start or since the
	 * process resumed.
	 *
	 * @param now the time of the event
	 * @param offset the offset after the last entry
	 * @param duration the time that reading took
	 * @param idle the maximum time since the last append, subject to clock skew; empty if
	 * the log has no entries
	 */
	record CaughtUp(long now, long offset, Duration duration, Optional<Duration> idle) implements RelayEvent {

	}

	/**
	 * The log has acknowledged settlements of stored turns that this relay appended.
	 * Other entries of these turns, such as reservations, are not reported.
	 *
	 * @param now the time of the event
	 * @param runs the turns
	 */
	record SettlementsStored(long now, Set<RunId> runs) implements RelayEvent {

	}

	/**
	 * The log has acknowledged texts that this relay appended, or reported the end of
	 * their partition.
	 *
	 * @param now the time of the event
	 * @param runs the turns of the texts
	 * @param firstOffset the lowest offset of these texts
	 * @param endOffset the end offset of this relay's text partition
	 * @param latency the latency of the log
	 */
	record TextsStored(long now, Set<RunId> runs, long firstOffset, long endOffset,
			Duration latency) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param runs the turns of the texts
		 * @param firstOffset the lowest offset of these texts
		 * @param endOffset the end offset of this relay's text partition
		 * @param latency the latency of the log
		 */
		public TextsStored {
			runs = Set.copyOf(runs);
		}

	}

	/**
	 * Turns that this relay asked other relays to write are stored in the log.
	 *
	 * @param now the time of the event
	 * @param runs the turns
	 */
	record TurnWritesAcknowledged(long now, Set<RunId> runs) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param runs the turns
		 */
		public TurnWritesAcknowledged {
			runs = Set.copyOf(runs);
		}

	}

	/**
	 * Another relay can't write a turn to the log and requests that this one does.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param settlement the settlement of the turn
	 * @param text its text
	 */
	record TurnWriteRequested(long now, String peer, LedgerEntry.Settled settlement,
			StoredTurn text) implements RelayEvent {

	}

	/**
	 * Another relay, which can't read the log, requests the locations of the texts of a
	 * chain.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param request the last turn of the chain
	 */
	record TextLocationsRequested(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay sent the locations of the texts of a chain.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param turns the turns of the chain that it knows
	 */
	record TextLocationsReceived(long now, String peer, List<TurnLocation> turns) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param peer the other relay
		 * @param turns the turns of the chain that it knows
		 */
		public TextLocationsReceived {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * Another relay requests texts that this one may have cached.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param requests the turns
	 */
	record TextsRequested(long now, String peer, Set<String> requests) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param peer the other relay
		 * @param requests the turns
		 */
		public TextsRequested {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Another relay sent texts that this one requested.
	 *
	 * @param now the time of the event
	 * @param texts the texts
	 */
	record TextsReceived(long now, List<TurnText> texts) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param texts the texts
		 */
		public TextsReceived {
			texts = List.copyOf(texts);
		}

	}

	/**
	 * A read of a text from the log has ended.
	 *
	 * @param now the time of the event
	 * @param run the turn
	 * @param text the text, or empty if it was not found
	 */
	record TextRead(long now, RunId run, Optional<StoredTurn> text) implements RelayEvent {

	}

	/**
	 * Another relay requests the reservation of a turn in its program's budget before the
	 * turn runs.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param run the turn
	 * @param program the program
	 * @param maxTokens the maximum tokens of the turn
	 * @param budget the program's budget in tokens
	 * @param throughLog whether the reservation is appended to the log and decided there;
	 * otherwise the usage is reported immediately
	 */
	record ReservationRequested(long now, String peer, RunId run, String program, int maxTokens, long budget,
			boolean throughLog) implements RelayEvent {

	}

	/**
	 * A periodic timer of the event loop has run.
	 *
	 * @param now the time of the event
	 * @param delay by how much it was late
	 */
	record EventLoopDelayed(long now, Duration delay) implements RelayEvent {

	}

	/**
	 * Another relay reserved a turn and reported the usage of its program.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param run the turn
	 * @param tokens the tokens that are spent or reserved, the turn included
	 * @param uncommitted the part of them that is not in the log yet
	 * @param logReachable whether that relay reaches the log and can reserve the turn
	 * there
	 * @param otherRelays the number of other relays that are known
	 */
	record UsageReceived(long now, String peer, RunId run, long tokens, long uncommitted, boolean logReachable,
			int otherRelays) implements RelayEvent {

	}

	/**
	 * Another relay reserved a turn but can't report the usage of its program, because
	 * entries may be missing there.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param run the turn
	 */
	record UsageUnavailable(long now, String peer, RunId run) implements RelayEvent {

	}

	/**
	 * Another relay forwarded the load that upstreams reported.
	 *
	 * @param now the time of the event
	 * @param loads the loads
	 */
	record LoadsReceived(long now, List<UpstreamLoad> loads) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param loads the loads
		 */
		public LoadsReceived {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The list of the relays of the site was read.
	 *
	 * @param now the time of the event
	 * @param members all relays, including this one
	 */
	record MembershipUpdated(long now, List<Member> members) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param members all relays, including this one
		 */
		public MembershipUpdated {
			members = List.copyOf(members);
		}

	}

	/**
	 * Another relay, whose ledger may be incomplete, requests the uncommitted entries.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 */
	record SyncRequested(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay reported the decision on a turn in the order of the log.
	 *
	 * @param now the time of the event
	 * @param run the turn
	 * @param admitted whether the program's budget admits it
	 */
	record LogDecisionReceived(long now, RunId run, boolean admitted) implements RelayEvent {

	}

	/**
	 * The listener for connections of other relays was started.
	 *
	 * @param now the time of the event
	 * @param name the name of this relay for other relays
	 */
	record ListenerStarted(long now, String name) implements RelayEvent {

	}

	/**
	 * A connection to another relay was established by either side.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 */
	record PeerConnected(long now, String peer) implements RelayEvent {

	}

	/**
	 * The connection to another relay was closed.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 */
	record PeerDisconnected(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay with a complete ledger has sent all its uncommitted entries.
	 *
	 * @param now the time of the event
	 * @param peer the other relay
	 * @param otherRelays the number of other relays that are known
	 */
	record SyncCompleted(long now, String peer, int otherRelays) implements RelayEvent {

	}

	/**
	 * The connectivity of this relay changed.
	 *
	 * @param now the time of the event
	 * @param connectivity the new connectivity
	 */
	record ConnectivityChanged(long now, Connectivity connectivity) implements RelayEvent {

	}

	/**
	 * A route table was read.
	 *
	 * @param now the time of the event
	 * @param table the table
	 */
	record RouteTableUpdated(long now, RouteTable table) implements RelayEvent {

	}

	/**
	 * The complete list of upstreams was read from the platform.
	 *
	 * @param now the time of the event
	 * @param upstreams the upstreams
	 */
	record UpstreamsReplaced(long now, List<Upstream> upstreams) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now the time of the event
		 * @param upstreams the upstreams
		 */
		public UpstreamsReplaced {
			upstreams = List.copyOf(upstreams);
		}

	}

	/**
	 * An upstream was added or changed.
	 *
	 * @param now the time of the event
	 * @param upstream the upstream
	 */
	record UpstreamUpdated(long now, Upstream upstream) implements RelayEvent {

	}

	/**
	 * A record of the list of upstreams is invalid.
	 *
	 * @param now the time of the event
	 * @param id the key of the record
	 * @param error the error in it
	 */
	record UpstreamInvalid(long now, String id, UpstreamRecordError error) implements RelayEvent {

	}

	/**
	 * An upstream was probed for whether it still accepts connections.
	 *
	 * @param now the time of the event
	 * @param upstream the upstream
	 * @param refused whether it refused the connection, so that its process has ended;
	 * false if it accepted or could not be reached
	 */
	record UpstreamProbed(long now, Upstream upstream, boolean refused) implements RelayEvent {

	}

	/**
	 * An upstream was removed from the list.
	 *
	 * @param now the time of the event
	 * @param id its id
	 */
	record UpstreamRemoved(long now, String id) implements RelayEvent {

	}

	/**
	 * What a relay reaches of its site; written to notices by name. Safe for use by
	 * several threads.
	 */
	enum Connectivity {

		/**
		 * The log, and possibly other relays.
		 */
		LOG,

		/**
		 * At least half of the other relays, but not the log.
		 */
		RELAYS,

		/**
		 * Neither the log nor half of the other relays.
		 */
		NOTHING

	}

	/**
	 * Kind of a timer of an exchange. Safe for use by several threads.
	 */
	enum TimerKind {

		/**
		 * Timeout of a request for permits of a team.
		 */
		PERMIT,

		/**
		 * Deadline of the request.
		 */
		DEADLINE,

		/**
		 * Timeout of the lookup of the turn's chain.
		 */
		CHAIN_LOOKUP,

		/**
		 * The wait for the software version of a stream.
		 */
		STREAM_VERSION,

		/**
		 * The wait for a complete list of upstreams.
		 */
		UPSTREAM_CONFIRMATION,

		/**
		 * Timeout of the fetch of the chain's texts.
		 */
		TEXT_FETCH,

		/**
		 * Timeout of a stage of the budget decision.
		 */
		BUDGET_DECISION,

		/**
		 * Timeout of the write of a stored turn to the log.
		 */
		LOG_WRITE,

		/**
		 * Idle timeout of the upstream.
		 */
		UPSTREAM_IDLE

	}

	/**
	 * Cause of a failed attempt; written to notices by name. Safe for use by several
	 * threads.
	 */
	enum FailureCause {

		/**
		 * No connection was established, so the request was not sent.
		 */
		NOT_CONNECTED(false),

		/**
		 * The deadline passed before a connection was established, so the request was not
		 * sent.
		 */
		EXPIRED(false),

		/**
		 * The connection was closed before the response was complete.
		 */
		BROKEN(true),

		/**
		 * The response is malformed or belongs to another request.
		 */
		UNREADABLE(true);

		private final boolean mayHaveRun;

		FailureCause(boolean mayHaveRun) {
			this.mayHaveRun = mayHaveRun;
		}

		/**
		 * Returns whether the upstream may have run the request.
		 * @return whether it may
		 */
		public boolean mayHaveRun() {
			return this.mayHaveRun;
		}

	}

}
