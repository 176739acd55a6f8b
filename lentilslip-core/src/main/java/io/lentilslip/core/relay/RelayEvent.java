package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;

/**
 * What happens to a relay. Times are milliseconds of a steady clock. Immutable and safe
 * for use by several threads.
 */
public sealed interface RelayEvent {

	/**
	 * Returns when it happened.
	 * @return milliseconds of a steady clock
	 */
	long now();

	/**
	 * An event of one exchange with a caller. An exchange that has ended ignores it.
	 */
	sealed interface ExchangeEvent extends RelayEvent {

		/**
		 * Returns the exchange.
		 * @return its number
		 */
		long exchange();

	}

	/**
	 * An event of one attempt at an upstream. An attempt that was given up ignores it, so
	 * a late answer meets nothing.
	 */
	sealed interface AttemptEvent extends ExchangeEvent {

		/**
		 * Returns the attempt.
		 * @return its number in the exchange, from 1
		 */
		int attempt();

	}

	/**
	 * A caller's request was read whole.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param head what the request says of itself
	 * @param body its body; shared, never written to
	 * @param digest a digest of path, caller and body, the same for each resend
	 */
	record RequestReceived(long now, long exchange, RequestHead head, byte[] body,
			long digest) implements ExchangeEvent {

	}

	/**
	 * Another relay asks for permits of a team.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param ask what it asks for
	 */
	record PermitsRequested(long now, String peer, PermitRequest request) implements RelayEvent {

	}

	/**
	 * Another relay has granted permits of a team.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param reply what it granted
	 */
	record PermitsGranted(long now, String peer, PermitReply reply) implements RelayEvent {

	}

	/**
	 * The caller closed its connection.
	 *
	 * @param now when
	 * @param exchange the exchange
	 */
	record CallerDisconnected(long now, long exchange) implements ExchangeEvent {

	}

	/**
	 * A time that was asked for has come.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param reminder what for
	 */
	record TimerFired(long now, long exchange, TimerKind timer) implements ExchangeEvent {

	}

	/**
	 * The whole answer of an upstream arrived.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param head its head
	 * @param body its body
	 */
	record ResponseReceived(long now, long exchange, int attempt, ResponseHead head,
			byte[] body) implements AttemptEvent {

	}

	/**
	 * The head of a stream arrived.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param head its head
	 */
	record StreamOpened(long now, long exchange, int attempt, ResponseHead head) implements AttemptEvent {

	}

	/**
	 * A whole event of a stream arrived.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param number its number
	 * @param raw its bytes as they came
	 * @param data its data
	 */
	record StreamEventReceived(long now, long exchange, int attempt, long number, byte[] raw,
			byte[] data) implements AttemptEvent {

	}

	/**
	 * A stream ended as its upstream meant it to.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record StreamEnded(long now, long exchange, int attempt) implements AttemptEvent {

	}

	/**
	 * An attempt failed without a whole answer.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param cause why
	 */
	record AttemptFailed(long now, long exchange, int attempt, FailureCause cause) implements AttemptEvent {

	}

	/**
	 * Entries were read from the log, or came from another relay.
	 *
	 * @param now when
	 * @param entries the entries
	 * @param teller the relay that told them; empty if they were read from the log, and
	 * so stand in the order that all relays see
	 */
	record EntriesReceived(long now, List<LedgerEntry> entries, Optional<String> sender) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param entries the entries
		 * @param teller the relay that told them; empty if they were read from the log,
		 * and so stand in the order that all relays see
		 */
		public EntriesReceived {
			entries = List.copyOf(entries);
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
	 * This process did not run for a while: it was frozen, suspended or starved. What it
	 * believes is as old as that.
	 *
	 * @param now when
	 * @param slept for how long, at most
	 */
	record ProcessResumed(long now, Duration pause) implements RelayEvent {

	}

	/**
	 * The log was read up to its end, for the first time in this life or since the relay
	 * woke.
	 *
	 * @param now when
	 * @param offset the offset after the last entry
	 * @param took how long the reading took
	 * @param age the longest time for which nothing was written to it, up to now, by
	 * clocks that may be off; empty if there is no entry
	 */
	record CaughtUp(long now, long offset, Duration duration, Optional<Duration> idle) implements RelayEvent {

	}

	/**
	 * The log has the entries by which kept turns end, written by this relay. Other
	 * entries of the same requests don't count: a turn that is reserved there is not yet
	 * kept.
	 *
	 * @param now when
	 * @param requests the turns
	 */
	record SettlementsStored(long now, Set<String> requests) implements RelayEvent {

	}

	/**
	 * The log has texts that this relay wrote, or has told where they go.
	 *
	 * @param now when
	 * @param requests the turns whose texts they are
	 * @param end where the partition of this relay's texts ends now
	 * @param took how long the log took
	 */
	record TextsStored(long now, Set<String> requests, long endOffset, Duration latency) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param requests the turns whose texts they are
		 * @param end where the partition of this relay's texts ends now
		 * @param took how long the log took
		 */
		public TextsStored {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * The log has whole turns that this relay asked another one to write.
	 *
	 * @param now when
	 * @param requests the turns
	 */
	record TurnWritesAcknowledged(long now, Set<String> requests) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param requests the turns
		 */
		public TurnWritesAcknowledged {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Another relay can't write a turn to the log and asks for help with it.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param end what the turn has taken of its program's budget
	 * @param text its text
	 */
	record TurnWriteRequested(long now, String peer, LedgerEntry.Settled settlement,
			StoredTurn text) implements RelayEvent {

	}

	/**
	 * Another relay, which can't read the log, asks where the texts of a chain are.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the last turn of the chain
	 */
	record TextLocationsRequested(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay has told where the texts of a chain are.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param turns the turns that it knows
	 */
	record TextLocationsReceived(long now, String peer, List<TurnLocation> turns) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param peer the other relay
		 * @param turns the turns that it knows
		 */
		public TextLocationsReceived {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * Another relay asks for texts that this one may have in memory.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param requests the turns
	 */
	record TextsRequested(long now, String peer, Set<String> requests) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param peer the other relay
		 * @param requests the turns
		 */
		public TextsRequested {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Another relay has sent texts that this one asked for.
	 *
	 * @param now when
	 * @param texts the texts
	 */
	record TextsReceived(long now, List<TurnText> texts) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param texts the texts
		 */
		public TextsReceived {
			texts = List.copyOf(texts);
		}

	}

	/**
	 * The log was read for a text.
	 *
	 * @param now when
	 * @param request the turn
	 * @param text the text, or empty if it was not found
	 */
	record TextRead(long now, String request, Optional<StoredTurn> text) implements RelayEvent {

	}

	/**
	 * Another relay asks what is taken of a program's budget, before it runs a turn.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the turn
	 * @param program the program
	 * @param most the most tokens of the turn
	 * @param budget the program's budget
	 * @param place whether a place in the log is asked for, instead of an answer at once
	 */
	record ReservationRequested(long now, String peer, String request, String program, int maxTokens, long budget,
			boolean throughLog) implements RelayEvent {

	}

	/**
	 * Another relay has told what is taken of a program's budget.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the turn for which it was asked
	 * @param tokens the tokens that it knows to be taken
	 * @param unlogged how many of them the log has not shown it
	 * @param log whether it reaches the log, and can get the turn a place there
	 * @param others how many other relays are known
	 */
	record UsageReceived(long now, String peer, String request, long tokens, long uncommitted, boolean logReachable,
			int otherRelays) implements RelayEvent {

	}

	/**
	 * Another relay can't tell what is taken of a program's budget: it may miss turns.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the turn for which it was asked
	 */
	record UsageUnavailable(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay has passed on what upstreams said of their load.
	 *
	 * @param now when
	 * @param loads what they said
	 */
	record LoadsReceived(long now, List<UpstreamLoad> loads) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param loads what they said
		 */
		public LoadsReceived {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The relays of the site were listed anew.
	 *
	 * @param now when
	 * @param members all of them, this one included
	 */
	record MembershipUpdated(long now, List<Member> members) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param members all of them, this one included
		 */
		public MembershipUpdated {
			members = List.copyOf(members);
		}

	}

	/**
	 * Another relay, which may miss turns, asks for what the log has not shown.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record SyncRequested(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay has read from the log whether a program's budget holds a turn.
	 *
	 * @param now when
	 * @param request the turn
	 * @param held whether it does
	 */
	record LogDecisionReceived(long now, String request, boolean admitted) implements RelayEvent {

	}

	/**
	 * The relay has a port for the links of others.
	 *
	 * @param now when
	 * @param name the name by which they know it
	 */
	record ListenerStarted(long now, String name) implements RelayEvent {

	}

	/**
	 * A link to another relay is up, whichever made it.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record PeerConnected(long now, String peer) implements RelayEvent {

	}

	/**
	 * The link to another relay is over.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record PeerDisconnected(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay that misses nothing has told all that it knows beyond the log.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param others how many other relays are known
	 */
	record SyncCompleted(long now, String peer, int otherRelays) implements RelayEvent {

	}

	/**
	 * What this relay reaches has changed.
	 *
	 * @param now when
	 * @param reach what it reaches
	 */
	record ConnectivityChanged(long now, Connectivity connectivity) implements RelayEvent {

	}

	/**
	 * A route table was read.
	 *
	 * @param now when
	 * @param table the table
	 */
	record RouteTableUpdated(long now, RouteTable table) implements RelayEvent {

	}

	/**
	 * The platform's whole list of upstreams was read.
	 *
	 * @param now when
	 * @param upstreams the upstreams
	 */
	record UpstreamsReplaced(long now, List<Upstream> upstreams) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param upstreams the upstreams
		 */
		public UpstreamsReplaced {
			upstreams = List.copyOf(upstreams);
		}

	}

	/**
	 * One upstream was listed anew or changed.
	 *
	 * @param now when
	 * @param upstream the upstream
	 */
	record UpstreamUpdated(long now, Upstream upstream) implements RelayEvent {

	}

	/**
	 * A record of the list of upstreams names none that can be used.
	 *
	 * @param now when
	 * @param id the key of the record
	 * @param problem why
	 */
	record UpstreamInvalid(long now, String id, UpstreamRecordError problem) implements RelayEvent {

	}

	/**
	 * An upstream is no longer listed.
	 *
	 * @param now when
	 * @param id its id
	 */
	record UpstreamRemoved(long now, String id) implements RelayEvent {

	}

	/**
	 * What a relay reaches of the rest of its site. Safe for use by several threads.
	 */
	enum Connectivity {

		/**
		 * The log, and perhaps other relays.
		 */
		LOG,

		/**
		 * Half of the other relays or more, and not the log.
		 */
		RELAYS,

		/**
		 * Neither the log nor half of the other relays.
		 */
		NOTHING

	}

	/**
	 * What an exchange can be reminded of. Safe for use by several threads.
	 */
	enum TimerKind {

		/**
		 * For a permit of a team.
		 */
		PERMIT,

		/**
		 * The longest time that the request may take is over.
		 */
		DEADLINE,

		/**
		 * The text of its chain should have been found.
		 */
		CHAIN_LOOKUP,

		/**
		 * The texts of its chain should have been brought.
		 */
		TEXT_FETCH,

		/**
		 * The keepers of the program, the log or other relays should have told whether
		 * the budget holds the turn.
		 */
		BUDGET_DECISION,

		/**
		 * The log should have taken a kept turn.
		 */
		LOG_WRITE,

		/**
		 * The upstream should have said something.
		 */
		UPSTREAM_IDLE

	}

	/**
	 * Why an attempt failed. Safe for use by several threads.
	 */
	enum FailureCause {

		/**
		 * No connection could be made: nothing was sent.
		 */
		NOT_CONNECTED(false),

		/**
		 * The connection ended before the whole answer was in.
		 */
		BROKEN(true),

		/**
		 * What came is no answer to this request.
		 */
		UNREADABLE(true);

		private final boolean mayHaveRun;

		FailureCause(boolean mayHaveRun) {
			this.mayHaveRun = mayHaveRun;
		}

		/**
		 * Returns whether the request may have run.
		 * @return whether it may
		 */
		public boolean mayHaveRun() {
			return this.mayHaveRun;
		}

	}

}
