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
	sealed interface OfExchange extends RelayEvent {

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
	sealed interface OfAttempt extends OfExchange {

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
	record Asked(long now, long exchange, RequestHead head, byte[] body, long digest) implements OfExchange {

	}

	/**
	 * Another relay asks for permits of a team.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param ask what it asks for
	 */
	record PermitsRequested(long now, String peer, PermitRequest ask) implements RelayEvent {

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
	record CallerLeft(long now, long exchange) implements OfExchange {

	}

	/**
	 * A time that was asked for has come.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param reminder what for
	 */
	record Reminded(long now, long exchange, Reminder reminder) implements OfExchange {

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
	record Answered(long now, long exchange, int attempt, AnswerHead head, byte[] body) implements OfAttempt {

	}

	/**
	 * The head of a stream arrived.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param head its head
	 */
	record StreamOpened(long now, long exchange, int attempt, AnswerHead head) implements OfAttempt {

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
	record EventArrived(long now, long exchange, int attempt, long number, byte[] raw,
			byte[] data) implements OfAttempt {

	}

	/**
	 * A stream ended as its upstream meant it to.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 */
	record StreamEnded(long now, long exchange, int attempt) implements OfAttempt {

	}

	/**
	 * An attempt failed without a whole answer.
	 *
	 * @param now when
	 * @param exchange the exchange
	 * @param attempt the attempt
	 * @param cause why
	 */
	record AttemptFailed(long now, long exchange, int attempt, FailureCause cause) implements OfAttempt {

	}

	/**
	 * Entries were read from the log, or came from another relay.
	 *
	 * @param now when
	 * @param entries the entries
	 * @param teller the relay that told them; empty if they were read from the log, and
	 * so stand in the order that all relays see
	 */
	record EntriesRead(long now, List<LedgerEntry> entries, Optional<String> teller) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param entries the entries
		 * @param teller the relay that told them; empty if they were read from the log,
		 * and so stand in the order that all relays see
		 */
		public EntriesRead {
			entries = List.copyOf(entries);
		}

		/**
		 * Returns whether the entries were read from the log.
		 * @return whether they were
		 */
		boolean fromLog() {
			return this.teller.isEmpty();
		}

	}

	/**
	 * This process did not run for a while: it was frozen, suspended or starved. What it
	 * believes is as old as that.
	 *
	 * @param now when
	 * @param slept for how long, at most
	 */
	record Woken(long now, Duration slept) implements RelayEvent {

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
	record CaughtUp(long now, long offset, Duration took, Optional<Duration> age) implements RelayEvent {

	}

	/**
	 * The log has the entries by which kept turns end, written by this relay. Other
	 * entries of the same requests don't count: a turn that is reserved there is not yet
	 * kept.
	 *
	 * @param now when
	 * @param requests the turns
	 */
	record Stored(long now, Set<String> requests) implements RelayEvent {

	}

	/**
	 * The log has texts that this relay wrote, or has told where they go.
	 *
	 * @param now when
	 * @param requests the turns whose texts they are
	 * @param end where the partition of this relay's texts ends now
	 * @param took how long the log took
	 */
	record TextsStored(long now, Set<String> requests, long end, Duration took) implements RelayEvent {

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
	record Helped(long now, Set<String> requests) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param requests the turns
		 */
		public Helped {
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
	record HelpAsked(long now, String peer, LedgerEntry.Settled end, KeptTurn text) implements RelayEvent {

	}

	/**
	 * Another relay, which can't read the log, asks where the texts of a chain are.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the last turn of the chain
	 */
	record PlacesAsked(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay has told where the texts of a chain are.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param turns the turns that it knows
	 */
	record PlacesTold(long now, String peer, List<PlacedTurn> turns) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param peer the other relay
		 * @param turns the turns that it knows
		 */
		public PlacesTold {
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
	record TextsAsked(long now, String peer, Set<String> requests) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param peer the other relay
		 * @param requests the turns
		 */
		public TextsAsked {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Another relay has sent texts that this one asked for.
	 *
	 * @param now when
	 * @param texts the texts
	 */
	record TextsTold(long now, List<TurnText> texts) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param texts the texts
		 */
		public TextsTold {
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
	record TextRead(long now, String request, Optional<KeptTurn> text) implements RelayEvent {

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
	record TakenAsked(long now, String peer, String request, String program, int most, long budget,
			boolean place) implements RelayEvent {

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
	record TakenTold(long now, String peer, String request, long tokens, long unlogged, boolean log,
			int others) implements RelayEvent {

	}

	/**
	 * Another relay can't tell what is taken of a program's budget: it may miss turns.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param request the turn for which it was asked
	 */
	record TakenUnsure(long now, String peer, String request) implements RelayEvent {

	}

	/**
	 * Another relay has passed on what upstreams said of their load.
	 *
	 * @param now when
	 * @param loads what they said
	 */
	record LoadsTold(long now, List<UpstreamLoad> loads) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param loads what they said
		 */
		public LoadsTold {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * The relays of the site were listed anew.
	 *
	 * @param now when
	 * @param members all of them, this one included
	 */
	record RelaysListed(long now, List<Member> members) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param members all of them, this one included
		 */
		public RelaysListed {
			members = List.copyOf(members);
		}

	}

	/**
	 * Another relay, which may miss turns, asks for what the log has not shown.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record UnloggedAsked(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay has read from the log whether a program's budget holds a turn.
	 *
	 * @param now when
	 * @param request the turn
	 * @param held whether it does
	 */
	record PlaceTold(long now, String request, boolean held) implements RelayEvent {

	}

	/**
	 * The relay has a port for the links of others.
	 *
	 * @param now when
	 * @param name the name by which they know it
	 */
	record Opened(long now, String name) implements RelayEvent {

	}

	/**
	 * A link to another relay is up, whichever made it.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record PeerLinked(long now, String peer) implements RelayEvent {

	}

	/**
	 * The link to another relay is over.
	 *
	 * @param now when
	 * @param peer the other relay
	 */
	record PeerLost(long now, String peer) implements RelayEvent {

	}

	/**
	 * Another relay that misses nothing has told all that it knows beyond the log.
	 *
	 * @param now when
	 * @param peer the other relay
	 * @param others how many other relays are known
	 */
	record PeerTold(long now, String peer, int others) implements RelayEvent {

	}

	/**
	 * What this relay reaches has changed.
	 *
	 * @param now when
	 * @param reach what it reaches
	 */
	record ReachChanged(long now, Reach reach) implements RelayEvent {

	}

	/**
	 * A route table was read.
	 *
	 * @param now when
	 * @param table the table
	 */
	record TableRead(long now, RouteTable table) implements RelayEvent {

	}

	/**
	 * The platform's whole list of upstreams was read.
	 *
	 * @param now when
	 * @param upstreams the upstreams
	 */
	record UpstreamsRead(long now, List<Upstream> upstreams) implements RelayEvent {

		/**
		 * Creates an event.
		 * @param now when
		 * @param upstreams the upstreams
		 */
		public UpstreamsRead {
			upstreams = List.copyOf(upstreams);
		}

	}

	/**
	 * One upstream was listed anew or changed.
	 *
	 * @param now when
	 * @param upstream the upstream
	 */
	record UpstreamListed(long now, Upstream upstream) implements RelayEvent {

	}

	/**
	 * A record of the list of upstreams names none that can be used.
	 *
	 * @param now when
	 * @param id the key of the record
	 * @param problem why
	 */
	record UpstreamUnusable(long now, String id, EntryProblem problem) implements RelayEvent {

	}

	/**
	 * An upstream is no longer listed.
	 *
	 * @param now when
	 * @param id its id
	 */
	record UpstreamGone(long now, String id) implements RelayEvent {

	}

	/**
	 * What a relay reaches of the rest of its site. Safe for use by several threads.
	 */
	enum Reach {

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
	enum Reminder {

		/**
		 * For a permit of a team.
		 */
		PERMIT,

		/**
		 * The longest time that the request may take is over.
		 */
		DUE,

		/**
		 * The text of its chain should have been found.
		 */
		CHAIN,

		/**
		 * The texts of its chain should have been brought.
		 */
		TEXTS,

		/**
		 * The keepers of the program, the log or other relays should have told whether
		 * the budget holds the turn.
		 */
		ORDER,

		/**
		 * The log should have taken a kept turn.
		 */
		STORED,

		/**
		 * The upstream should have said something.
		 */
		SILENCE

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
