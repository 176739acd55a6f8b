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
	Admission admit(Exchange exchange) {
		OptionalLong budget = exchange.head().turn().map(Turn::budget).orElse(OptionalLong.empty());
		if (budget.isEmpty()) {
			return Admission.ADMITTED;
		}
		Turn turn = exchange.head().turn().orElseThrow();
		if (this.state.replicas.hasMembers()) {
			boolean spent = this.state.tokens.spent(turn.program()) + turn.maxTokens() > budget.getAsLong();
			return spent ? Admission.REFUSED : Admission.UNDECIDED;
		}
		long taken = this.state.tokens.used(turn.program()) + missed(turn.maxTokens(), budget.getAsLong());
		if (taken + turn.maxTokens() > budget.getAsLong()) {
			return Admission.REFUSED;
		}
		long atOnce = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return (taken + atOnce <= boundAlone(turn, budget.getAsLong())) ? Admission.ADMITTED : Admission.UNDECIDED;
	}

	private long boundAlone(Turn turn, long budget) {
		if (this.state.connectivity != Connectivity.LOG) {
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
	Optional<Boolean> requestDecision(Exchange exchange) {
		exchange.transitionTo(Phase.WAITING_FOR_BUDGET);
		if (this.state.connectivity == Connectivity.NOTHING) {
			// Refused at once, the caller has time for a relay that can know.
			this.ends.giveUp(exchange, Refusal.LOG_LOST);
			return Optional.empty();
		}
		if (this.state.replicas.hasMembers()) {
			return askKeepers(exchange);
		}
		if (this.state.connectivity == Connectivity.LOG) {
			contendInLog(exchange);
		}
		else {
			askRelays(exchange);
		}
		return Optional.empty();
	}

	private Optional<Boolean> askKeepers(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		List<String> keepers = this.state.replicas.replicasOf(turn.program());
		UsagePoll poll = new UsagePoll(exchange.number(), exchange.id(), keepers);
		hold(exchange, turn, poll);
		if (keepers.contains(this.state.name)) {
			if (this.state.upToDate()) {
				poll.addUsage(this.state.name, this.state.tokens.used(turn.program()),
						this.state.uncommitted.tokensOf(turn.program()));
			}
			else {
				poll.unavailable();
			}
		}
		List<String> others = this.state.otherReplicas(turn.program());
		if (!others.isEmpty()) {
			this.state.emit(new RelayEffect.RequestReservation(others, exchange.id(), turn.program(), turn.maxTokens(),
					turn.budget().orElseThrow()));
			remind(exchange, poll, RelaySettings.REPLICA_TIMEOUT);
		}
		return byKeepers(exchange, poll);
	}

	private void hold(Exchange exchange, Turn turn, UsagePoll poll) {
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.id(), turn.maxTokens());
		this.state
			.recordUncommitted(new Reserved(exchange.id(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.polls.put(exchange.id(), poll);
	}

	private Optional<Boolean> byKeepers(Exchange exchange, UsagePoll poll) {
		if (!poll.hasReplicaQuorum()) {
			if (poll.replicaQuorumLost()) {
				widen(exchange, poll);
			}
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		boolean log = this.state.connectivity == Connectivity.LOG;
		if (log && poll.used() > budget) {
			decided(exchange, Decider.KEEPERS, false);
			return Optional.of(false);
		}
		long part = withoutLog(turn.maxTokens(), budget);
		// What the log has not shown is lost with all relays. The log may have been out
		// of reach for a while before that is found out, so the part that is granted
		// without it is counted here, wherever it seems to be in reach.
		long counted = log ? poll.uncommitted() : poll.used();
		long unseen = poll.maxUnseen(turn.maxTokens());
		boolean whole = !log || unseen == 0 || poll.used() + unseen <= budget + turn.maxTokens();
		if (whole && counted + unseen <= part) {
			decided(exchange, Decider.KEEPERS, true);
			return Optional.of(true);
		}
		if (counted > part || !poll.awaitsReplicas()) {
			widen(exchange, poll);
		}
		return Optional.empty();
	}

	// What the keepers can't decide, the log does, and without it the other relays: one
	// of them may reach it.
	private void widen(Exchange exchange, UsagePoll poll) {
		switch (this.state.connectivity) {
			case LOG -> {
				poll.waitForLog();
				poll.timerStarted();
				contendInLog(exchange);
			}
			case RELAYS -> askRelays(exchange);
			case NOTHING -> this.ends.budgetUndecided(exchange);
		}
	}

	private void contendInLog(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		this.state.conditionalReservations.put(exchange.id(), exchange.number());
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
		UsagePoll poll = Optional.ofNullable(this.state.polls.get(exchange.id()))
			.orElseGet(() -> new UsagePoll(exchange.number(), exchange.id(), List.of()));
		poll.waitForAllRelays(this.state.name);
		exchange.markReservedOnAll();
		hold(exchange, turn, poll);
		this.state.write(new Reserved(exchange.id(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.emit(new RelayEffect.RequestReservation(List.of(), exchange.id(), turn.program(), turn.maxTokens(),
				turn.budget().orElseThrow()));
		remind(exchange, poll, RelaySettings.QUORUM_TIMEOUT);
	}

	private void remind(Exchange exchange, UsagePoll poll, Duration delay) {
		poll.timerStarted();
		this.state.startTimer(exchange, delay, TimerKind.BUDGET_DECISION);
	}

	/**
	 * Looks at a turn that has waited for its keepers, its place in the log, or other
	 * relays. A log that is slow or just gone is found out here first, so the others are
	 * asked before the turn is given up.
	 * @param exchange the exchange
	 */
	void decisionTimedOut(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_BUDGET) {
			return;
		}
		UsagePoll poll = this.state.polls.get(exchange.id());
		// An answer may have ended the waiting that a reminder is of: taken for the next
		// one's, the log would hardly have its time, and all relays would be asked.
		if (poll != null && !poll.timerFired()) {
			return;
		}
		if (poll != null && poll.stage() == UsagePoll.Stage.REPLICAS) {
			widen(exchange, poll);
			return;
		}
		if ((poll == null || poll.stage() == UsagePoll.Stage.LOG) && this.state.connectivity != Connectivity.NOTHING) {
			askRelays(exchange);
			return;
		}
		if (poll != null && (poll.logReachable() || this.state.connectivity == Connectivity.LOG)
				&& poll.extendTimeout()) {
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
	Optional<Refusal> decideInLogOrder(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		Optional<UsagePoll> poll = Optional.ofNullable(this.state.polls.get(exchange.id()));
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
	private boolean sure(UsagePoll poll, Turn turn) {
		long budget = turn.budget().orElseThrow();
		if (poll.coversReplicaDecisions()) {
			return poll.used() <= budget;
		}
		long atOnce = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return this.state.tokens.usedExcluding(turn.program(), poll.request()) + atOnce <= budget + turn.maxTokens();
	}

	private boolean holds(String request, String program, int most, long budget) {
		return this.state.tokens.usedExcluding(program, request) + missed(most, budget) + most <= budget;
	}

	/**
	 * Takes another relay's answer to a question of this one.
	 * @param usageReceived the answer
	 * @return whether the budget holds the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> usageReceived(RelayEvent.UsageReceived told) {
		UsagePoll poll = this.state.polls.get(told.request());
		if (poll == null || poll.stage() == UsagePoll.Stage.LOG) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange());
		poll.addUsage(told.peer(), told.tokens(), told.uncommitted());
		return (poll.stage() == UsagePoll.Stage.REPLICAS) ? byKeepers(exchange, poll) : byRelays(exchange, poll, told);
	}

	/**
	 * Takes that another relay can't answer a question of this one.
	 * @param usageUnavailable what it said
	 */
	void usageUnavailable(RelayEvent.UsageUnavailable unsure) {
		UsagePoll poll = this.state.polls.get(unsure.request());
		if (poll != null && poll.stage() == UsagePoll.Stage.REPLICAS) {
			poll.unavailable();
			byKeepers(this.state.exchanges.get(poll.exchange()), poll);
		}
	}

	private Optional<Boolean> byRelays(Exchange exchange, UsagePoll poll, RelayEvent.UsageReceived told) {
		// Where one reaches the log, others may give turns there that no majority knows
		// of, so the log decides for all. One relay is asked for a place, since each call
		// of the log is priced; if it does not answer, the next one is.
		if (told.logReachable()) {
			boolean first = !poll.logReachable();
			poll.addLogRelay(told.peer());
			if (first) {
				askPlace(exchange, poll);
			}
		}
		if (poll.logReachable() || !poll.hasRelayMajority(told.otherRelays())) {
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		long taken = Math.max(poll.used(), this.state.tokens.used(turn.program())) + missed(turn.maxTokens(), budget);
		boolean held = taken <= withoutLog(turn.maxTokens(), budget);
		decided(exchange, Decider.MAJORITY, held);
		return Optional.of(held);
	}

	/**
	 * Takes what another relay read from the log of a turn of this one.
	 * @param usageReceived what it read
	 * @return the exchange of the turn, or empty if it is decided already
	 */
	Optional<Exchange> logDecisionReceived(RelayEvent.LogDecisionReceived told) {
		UsagePoll poll = this.state.polls.get(told.request());
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
	 * @param usageReceived what the other relay read
	 * @return whether they do, as far as they answered
	 */
	boolean fitsReplicaUsage(RelayEvent.LogDecisionReceived told) {
		UsagePoll poll = this.state.polls.get(told.request());
		if (poll == null || !poll.hasReplicas()) {
			return true;
		}
		Turn turn = this.state.exchanges.get(poll.exchange()).head().turn().orElseThrow();
		return poll.used() <= turn.budget().orElseThrow();
	}

	private void askPlace(Exchange exchange, UsagePoll poll) {
		Turn turn = exchange.head().turn().orElseThrow();
		poll.nextLogRelay()
			.ifPresent((relay) -> this.state.emit(new RelayEffect.RequestLogReservation(relay, exchange.id(),
					turn.program(), turn.maxTokens(), turn.budget().orElseThrow())));
	}

	private void decided(Exchange exchange, Decider by, boolean held) {
		UsagePoll poll = this.state.polls.remove(exchange.id());
		this.state.conditionalReservations.remove(exchange.id());
		if (by == Decider.KEEPERS && held) {
			// The ordinary case, which the placing of the turn tells.
			return;
		}
		this.state
			.report(RelayNotices.turnDecided(exchange, by, (poll != null) ? poll.responders() : 0, held, this.state));
	}

	/**
	 * Answers another relay's question: holds its turn back, and says what is taken. One
	 * that may miss turns itself says so: it would tell less than is taken. One that
	 * reaches the log gets the turn a place there if it is asked to.
	 * @param reservationRequested the question
	 */
	void reservationRequested(RelayEvent.ReservationRequested asked) {
		if (asked.throughLog()) {
			if (this.state.upToDate()) {
				this.state.proxiedReservations.put(asked.request(), asked);
				this.state
					.write(new Reserved(asked.request(), asked.program(), asked.maxTokens(), "", List.of(), true));
			}
			return;
		}
		this.state.tokens.reserve(asked.program(), asked.request(), asked.maxTokens());
		this.state.uncommitted.add(
				new Reserved(asked.request(), asked.program(), asked.maxTokens(), "", List.of(), false), asked.peer(),
				asked.now());
		if (!this.state.upToDate()) {
			this.state.emit(new RelayEffect.SendUsageUnavailable(asked.peer(), asked.request()));
			return;
		}
		boolean log = this.state.connectivity == Connectivity.LOG;
		this.state.emit(new RelayEffect.SendUsage(asked.peer(), asked.request(),
				this.state.tokens.used(asked.program()), this.state.uncommitted.tokensOf(asked.program()), log,
				log ? List.of() : this.state.uncommitted.entriesOf(asked.program()),
				this.state.upstreams.recentLoads(asked.now())));
	}

	/**
	 * Takes a place in the log, which may be one that this relay got for another.
	 * @param reserved what stands there
	 */
	void reservationCommitted(Reserved reserved) {
		RelayEvent.ReservationRequested asked = this.state.proxiedReservations.remove(reserved.request());
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
		UNDECIDED,

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
