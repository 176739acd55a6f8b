package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.LedgerEntry.Reserved;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.RequestHead.Turn;

/**
 * Whether a program's budget holds a turn. A majority of the relays that keep the program
 * decides: each of them holds the turn back before it answers, so of two turns that are
 * asked for at once at least one is seen by the other. Without that majority the log's
 * order decides, and without the log a majority of all relays, within half of the budget.
 * A relay that knows of no others decides alone far from the end of the budget. That half
 * is what a program may have been given without a trace if all relays are lost before the
 * log is back, so a relay that may have missed such turns counts it as spent, but for the
 * one turn by which a budget may be passed. Used by one thread.
 */
final class BudgetRules {

	/**
	 * The part of a budget that may be given without the log: both sides of an outage
	 * have room for programs that end by themselves.
	 */
	private static final int PART_WITHOUT_LOG = 2;

	private final RelayState state;

	private final ExchangeCompletion ends;

	BudgetRules(RelayState state, ExchangeCompletion ends) {
		this.state = state;
		this.ends = ends;
	}

	/**
	 * Decides by what is known here whether a program's budget holds a turn. What other
	 * relays began in the last moments is not known here yet. Far from the end of the
	 * budget this does no harm; near it, turns that begin at once would together take
	 * more than there is.
	 * @param exchange the exchange
	 * @return the decision
	 */
	Admission admission(Exchange exchange) {
		OptionalLong budget = exchange.head().turn().map(Turn::budget).orElse(OptionalLong.empty());
		if (budget.isEmpty()) {
			return Admission.ADMITTED;
		}
		Turn turn = exchange.head().turn().orElseThrow();
		if (this.state.keepers.known()) {
			boolean spent = this.state.tokens.spent(turn.program()) + turn.maxTokens() > budget.getAsLong();
			return spent ? Admission.REFUSED : Admission.CONTENDING;
		}
		long taken = this.state.tokens.taken(turn.program()) + missed(turn.maxTokens(), budget.getAsLong());
		if (taken + turn.maxTokens() > budget.getAsLong()) {
			return Admission.REFUSED;
		}
		long atOnce = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return (taken + atOnce <= boundAlone(turn, budget.getAsLong())) ? Admission.ADMITTED : Admission.CONTENDING;
	}

	private long boundAlone(Turn turn, long budget) {
		if (this.state.reach != Connectivity.LOG) {
			return withoutLog(turn.maxTokens(), budget);
		}
		return this.state.ledgerComplete ? budget + turn.maxTokens() : budget;
	}

	private static long withoutLog(int most, long budget) {
		return Math.max(most, budget / PART_WITHOUT_LOG);
	}

	// What programs may have been given that neither the log nor this relay knows of.
	private long missed(int most, long budget) {
		return this.state.ledgerComplete ? 0 : withoutLog(most, budget) - most;
	}

	/**
	 * Has the keepers of its program decide on a turn, or the log's order, or the other
	 * relays.
	 * @param exchange the exchange
	 * @return whether the budget holds the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> contend(Exchange exchange) {
		exchange.transitionTo(Phase.WAITING_FOR_BUDGET);
		if (this.state.reach == Connectivity.NOTHING) {
			// Refused at once, the caller has time for a relay that can know.
			this.ends.giveUp(exchange, Refusal.LOG_LOST);
			return Optional.empty();
		}
		if (this.state.keepers.known()) {
			return askKeepers(exchange);
		}
		if (this.state.reach == Connectivity.LOG) {
			contendInLog(exchange);
		}
		else {
			askRelays(exchange);
		}
		return Optional.empty();
	}

	private Optional<Boolean> askKeepers(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		List<String> keepers = this.state.keepers.of(turn.program());
		Poll poll = new Poll(exchange.number(), exchange.id(), keepers);
		hold(exchange, turn, poll);
		if (keepers.contains(this.state.name)) {
			if (this.state.upToDate()) {
				poll.answered(this.state.name, this.state.tokens.taken(turn.program()),
						this.state.unlogged.tokens(turn.program()));
			}
			else {
				poll.unsure();
			}
		}
		List<String> others = this.state.otherKeepers(turn.program());
		if (!others.isEmpty()) {
			this.state.emit(new RelayEffect.RequestReservation(others, exchange.id(), turn.program(), turn.maxTokens(),
					turn.budget().orElseThrow()));
			remind(exchange, poll, RelaySettings.REPLICA_TIMEOUT);
		}
		return byKeepers(exchange, poll);
	}

	private void hold(Exchange exchange, Turn turn, Poll poll) {
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.id(), turn.maxTokens());
		this.state
			.recordUncommitted(new Reserved(exchange.id(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.polls.put(exchange.id(), poll);
	}

	private Optional<Boolean> byKeepers(Exchange exchange, Poll poll) {
		if (!poll.keepersDecide()) {
			if (poll.keepersCannotDecide()) {
				widen(exchange, poll);
			}
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		boolean log = this.state.reach == Connectivity.LOG;
		if (log && poll.taken() > budget) {
			decided(exchange, Decider.KEEPERS, false);
			return Optional.of(false);
		}
		long part = withoutLog(turn.maxTokens(), budget);
		// What the log has not shown is lost with all relays. The log may have been out
		// of reach for a while before that is found out, so the part that is granted
		// without it is counted here, wherever it seems to be in reach.
		long counted = log ? poll.unlogged() : poll.taken();
		long unseen = poll.unseen(turn.maxTokens());
		boolean whole = !log || unseen == 0 || poll.taken() + unseen <= budget + turn.maxTokens();
		if (whole && counted + unseen <= part) {
			decided(exchange, Decider.KEEPERS, true);
			return Optional.of(true);
		}
		if (counted > part || !poll.waitsForMoreReplicas()) {
			widen(exchange, poll);
		}
		return Optional.empty();
	}

	// What the keepers can't decide, the log does, and without it the other relays: one
	// of them may reach it.
	private void widen(Exchange exchange, Poll poll) {
		switch (this.state.reach) {
			case LOG -> {
				poll.askLog();
				poll.remind();
				contendInLog(exchange);
			}
			case RELAYS -> askRelays(exchange);
			case NOTHING -> this.ends.budgetUndecided(exchange);
		}
	}

	private void contendInLog(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		this.state.contending.put(exchange.id(), exchange.number());
		this.state.write(new Reserved(exchange.id(), turn.program(), turn.maxTokens(), "", List.of(), true));
		this.state.startTimer(exchange, RelaySettings.LOG_DECISION_TIMEOUT, TimerKind.BUDGET_DECISION);
	}

	/**
	 * Asks all other relays what is taken of a program's budget, after the turn is held
	 * back here. Of two relays that do this at once, at least one hears of the other's
	 * turn: each is answered by a majority, a relay that is in both counts what it is
	 * told before it answers, and both hold their turns back before they ask. One of
	 * those that answer keeps the program, so that what its keepers decided before is
	 * seen too.
	 * @param exchange the exchange
	 */
	private void askRelays(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		Poll poll = Optional.ofNullable(this.state.polls.get(exchange.id()))
			.orElseGet(() -> new Poll(exchange.number(), exchange.id(), List.of()));
		poll.askAll(this.state.name);
		exchange.markReservedOnAll();
		hold(exchange, turn, poll);
		this.state.write(new Reserved(exchange.id(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.emit(new RelayEffect.RequestReservation(List.of(), exchange.id(), turn.program(), turn.maxTokens(),
				turn.budget().orElseThrow()));
		remind(exchange, poll, RelaySettings.QUORUM_TIMEOUT);
	}

	private void remind(Exchange exchange, Poll poll, Duration delay) {
		poll.remind();
		this.state.startTimer(exchange, delay, TimerKind.BUDGET_DECISION);
	}

	/**
	 * Looks at a turn that has waited for its keepers, its place in the log, or other
	 * relays. A log that is slow or just gone is found out here first, so the others are
	 * asked before the turn is given up.
	 * @param exchange the exchange
	 */
	void orderDue(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_BUDGET) {
			return;
		}
		Poll poll = this.state.polls.get(exchange.id());
		// An answer may have ended the waiting that a reminder is of: taken for the next
		// one's, the log would hardly have its time, and all relays would be asked.
		if (poll != null && !poll.lastReminder()) {
			return;
		}
		if (poll != null && poll.stage() == Poll.Stage.KEEPERS) {
			widen(exchange, poll);
			return;
		}
		if ((poll == null || poll.stage() == Poll.Stage.LOG) && this.state.reach != Connectivity.NOTHING) {
			askRelays(exchange);
			return;
		}
		if (poll != null && (poll.log() || this.state.reach == Connectivity.LOG) && poll.extend()) {
			askPlace(exchange, poll);
			remind(exchange, poll, RelaySettings.FINAL_LOG_DECISION_TIMEOUT);
			return;
		}
		this.ends.budgetUndecided(exchange);
	}

	/**
	 * Takes the place in the log of a turn of this relay: everything before it there is
	 * known now, and no relay takes anything after it into account first.
	 * @param exchange the exchange
	 * @return why the turn is refused, or empty if its budget holds it
	 */
	Optional<Refusal> ordered(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		Optional<Poll> poll = Optional.ofNullable(this.state.polls.get(exchange.id()));
		boolean held = holds(exchange.id(), turn.program(), turn.maxTokens(), turn.budget().orElseThrow());
		boolean sure = poll.isEmpty() || sure(poll.get(), turn);
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.id(), turn.maxTokens());
		decided(exchange, Decider.LOG, held && sure);
		if (held && sure) {
			return Optional.empty();
		}
		return Optional.of(held ? Refusal.LOG_LOST : Refusal.BUDGET_SPENT);
	}

	// Keepers of the program decide on other turns meanwhile, which come into the log a
	// moment later. One keeper that answered knows of them; where none has, as many may
	// be missing as begin at once. The caller is told to come back then, not that the
	// budget is spent.
	private boolean sure(Poll poll, Turn turn) {
		long budget = turn.budget().orElseThrow();
		if (poll.seesKeepers()) {
			return poll.taken() <= budget;
		}
		long atOnce = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return this.state.tokens.takenWithout(turn.program(), poll.request()) + atOnce <= budget + turn.maxTokens();
	}

	private boolean holds(String request, String program, int most, long budget) {
		return this.state.tokens.takenWithout(program, request) + missed(most, budget) + most <= budget;
	}

	/**
	 * Takes another relay's answer to a question of this one.
	 * @param told the answer
	 * @return whether the budget holds the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> told(RelayEvent.UsageReceived told) {
		Poll poll = this.state.polls.get(told.request());
		if (poll == null || poll.stage() == Poll.Stage.LOG) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange());
		poll.answered(told.peer(), told.tokens(), told.uncommitted());
		return (poll.stage() == Poll.Stage.KEEPERS) ? byKeepers(exchange, poll) : byRelays(exchange, poll, told);
	}

	/**
	 * Takes that another relay can't answer a question of this one.
	 * @param unsure what it said
	 */
	void unsure(RelayEvent.UsageUnavailable unsure) {
		Poll poll = this.state.polls.get(unsure.request());
		if (poll != null && poll.stage() == Poll.Stage.KEEPERS) {
			poll.unsure();
			byKeepers(this.state.exchanges.get(poll.exchange()), poll);
		}
	}

	private Optional<Boolean> byRelays(Exchange exchange, Poll poll, RelayEvent.UsageReceived told) {
		// Where one reaches the log, others may give turns there that no majority knows
		// of, so the log decides for all. One relay is asked for a place, since each call
		// of the log is priced; if it does not answer, the next one is.
		if (told.logReachable()) {
			boolean first = !poll.log();
			poll.reachesLog(told.peer());
			if (first) {
				askPlace(exchange, poll);
			}
		}
		if (poll.log() || !poll.allDecide(told.otherRelays())) {
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		long taken = Math.max(poll.taken(), this.state.tokens.taken(turn.program())) + missed(turn.maxTokens(), budget);
		boolean held = taken <= withoutLog(turn.maxTokens(), budget);
		decided(exchange, Decider.MAJORITY, held);
		return Optional.of(held);
	}

	/**
	 * Takes what another relay read from the log of a turn of this one.
	 * @param told what it read
	 * @return the exchange of the turn, or empty if it is decided already
	 */
	Optional<Exchange> placeTold(RelayEvent.LogDecisionReceived told) {
		Poll poll = this.state.polls.get(told.request());
		if (poll == null) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange());
		decided(exchange, Decider.PLACE, told.admitted());
		return Optional.of(exchange);
	}

	/**
	 * Returns whether the keepers of a program leave room for a turn that has a place in
	 * the log. The relay that got it the place need not be one of them, and what relays
	 * without the log have given is not there.
	 * @param told what the other relay read
	 * @return whether they do, as far as they answered
	 */
	boolean leavesRoom(RelayEvent.LogDecisionReceived told) {
		Poll poll = this.state.polls.get(told.request());
		if (poll == null || !poll.keepersKnown()) {
			return true;
		}
		Turn turn = this.state.exchanges.get(poll.exchange()).head().turn().orElseThrow();
		return poll.taken() <= turn.budget().orElseThrow();
	}

	private void askPlace(Exchange exchange, Poll poll) {
		Turn turn = exchange.head().turn().orElseThrow();
		poll.nextPlacer()
			.ifPresent((relay) -> this.state.emit(new RelayEffect.RequestLogReservation(relay, exchange.id(),
					turn.program(), turn.maxTokens(), turn.budget().orElseThrow())));
	}

	private void decided(Exchange exchange, Decider by, boolean held) {
		Poll poll = this.state.polls.remove(exchange.id());
		this.state.contending.remove(exchange.id());
		if (by == Decider.KEEPERS && held) {
			// The ordinary case, which the placing of the turn tells.
			return;
		}
		this.state
			.report(RelayNotices.turnDecided(exchange, by, (poll != null) ? poll.answers() : 0, held, this.state));
	}

	/**
	 * Answers another relay's question: holds its turn back, and says what is taken. One
	 * that may miss turns itself says so: it would tell less than is taken. One that
	 * reaches the log gets the turn a place there if it is asked to.
	 * @param asked the question
	 */
	void asked(RelayEvent.ReservationRequested asked) {
		if (asked.throughLog()) {
			if (this.state.upToDate()) {
				this.state.placing.put(asked.request(), asked);
				this.state
					.write(new Reserved(asked.request(), asked.program(), asked.maxTokens(), "", List.of(), true));
			}
			return;
		}
		this.state.tokens.reserve(asked.program(), asked.request(), asked.maxTokens());
		this.state.unlogged.told(
				new Reserved(asked.request(), asked.program(), asked.maxTokens(), "", List.of(), false), asked.peer(),
				asked.now());
		if (!this.state.upToDate()) {
			this.state.emit(new RelayEffect.SendUsageUnavailable(asked.peer(), asked.request()));
			return;
		}
		boolean log = this.state.reach == Connectivity.LOG;
		this.state.emit(new RelayEffect.SendUsage(asked.peer(), asked.request(),
				this.state.tokens.taken(asked.program()), this.state.unlogged.tokens(asked.program()), log,
				log ? List.of() : this.state.unlogged.of(asked.program()),
				this.state.upstreams.recentLoads(asked.now())));
	}

	/**
	 * Takes a place in the log, which may be one that this relay got for another.
	 * @param reserved what stands there
	 */
	void placed(Reserved reserved) {
		RelayEvent.ReservationRequested asked = this.state.placing.remove(reserved.request());
		if (asked != null) {
			boolean held = holds(asked.request(), asked.program(), asked.maxTokens(), asked.budget());
			this.state.emit(new RelayEffect.SendLogDecision(asked.peer(), asked.request(), held));
		}
	}

	/**
	 * Whether a turn may run. Safe for use by several threads.
	 */
	enum Admission {

		/**
		 * It may.
		 */
		ADMITTED,

		/**
		 * The log's order decides, or other relays.
		 */
		CONTENDING,

		/**
		 * Its program's budget does not hold it.
		 */
		REFUSED

	}

	/**
	 * Who decided on a turn. Safe for use by several threads.
	 */
	enum Decider {

		/**
		 * A majority of the relays that keep the program.
		 */
		KEEPERS,

		/**
		 * The log, read by this relay.
		 */
		LOG,

		/**
		 * The log, read by another relay.
		 */
		PLACE,

		/**
		 * A majority of the relays.
		 */
		MAJORITY

	}

}
