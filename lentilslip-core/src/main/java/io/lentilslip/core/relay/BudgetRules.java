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
 * Rules that decide whether a program's budget admits a turn. A turn is decided by a
 * quorum read of the program's replicas: each replica reserves the turn's tokens before
 * it replies, so of two concurrent turns at least one is counted for the other. Without a
 * quorum of replicas the order of the log decides, and without the log a majority of all
 * relays, up to half of the budget. A relay without a member list admits turns alone as
 * long as the budget covers concurrent turns on other relays.
 * <p>
 * Usage that was granted without the log is lost if all relays are lost before the log is
 * available. A relay whose ledger may be incomplete therefore counts half of the budget
 * as used, less one turn, because a budget may be exceeded by one turn. Used by one
 * thread.
 */
final class BudgetRules {

	/**
	 * Without the log a program gets at most its budget divided by this, so that programs
	 * that end by themselves have room both during an outage and after it.
	 */
	private static final int LOGLESS_BUDGET_DIVISOR = 2;

	private final RelayState state;

	private final ExchangeCompletion completion;

	BudgetRules(RelayState state, ExchangeCompletion completion) {
		this.state = state;
		this.completion = completion;
	}

	/**
	 * Decides from local state whether a program's budget admits a turn. Turns that other
	 * relays have just started are not known here, so a turn close to the limit stays
	 * undecided.
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
		long used = this.state.tokens.used(turn.program()) + maxUnknown(turn.maxTokens(), budget.getAsLong());
		if (used + turn.maxTokens() > budget.getAsLong()) {
			return Admission.REFUSED;
		}
		long concurrent = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return (used + concurrent <= standaloneLimit(turn, budget.getAsLong())) ? Admission.ADMITTED
				: Admission.UNDECIDED;
	}

	private long standaloneLimit(Turn turn, long budget) {
		if (this.state.connectivity != Connectivity.LOG) {
			return loglessLimit(turn.maxTokens(), budget);
		}
		return this.state.ledgerComplete ? budget + turn.maxTokens() : budget;
	}

	private static long loglessLimit(int maxTokens, long budget) {
		return Math.max(maxTokens, budget / LOGLESS_BUDGET_DIVISOR);
	}

	// Upper bound of the usage that neither the log nor this relay has recorded.
	private long maxUnknown(int maxTokens, long budget) {
		return this.state.ledgerComplete ? 0 : loglessLimit(maxTokens, budget) - maxTokens;
	}

	/**
	 * Requests a decision on a turn from the program's replicas, from the order of the
	 * log or from all other relays.
	 * @param exchange the exchange
	 * @return whether the budget admits the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> requestDecision(Exchange exchange) {
		exchange.transitionTo(Phase.WAITING_FOR_BUDGET);
		if (this.state.connectivity == Connectivity.NOTHING) {
			// An immediate refusal leaves the caller time to retry on another relay.
			this.completion.giveUp(exchange, Refusal.LOG_LOST);
			return Optional.empty();
		}
		if (this.state.replicas.hasMembers()) {
			return reserveOnReplicas(exchange);
		}
		if (this.state.connectivity == Connectivity.LOG) {
			reserveInLog(exchange);
		}
		else {
			reserveOnAllRelays(exchange);
		}
		return Optional.empty();
	}

	private Optional<Boolean> reserveOnReplicas(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		List<String> replicas = this.state.replicas.replicasOf(turn.program());
		UsagePoll poll = new UsagePoll(exchange.number(), exchange.run(), replicas);
		reserve(exchange, turn, poll);
		if (replicas.contains(this.state.name)) {
			if (this.state.upToDate()) {
				poll.addUsage(this.state.name, this.state.tokens.used(turn.program()),
						this.state.uncommitted.tokensOf(turn.program()));
			}
			else {
				poll.unavailable();
			}
		}
		List<String> otherReplicas = this.state.otherReplicas(turn.program());
		if (!otherReplicas.isEmpty()) {
			this.state.emit(new RelayEffect.RequestReservation(otherReplicas, exchange.run(), turn.program(),
					turn.maxTokens(), turn.budget().orElseThrow()));
			startTimer(exchange, poll, RelaySettings.REPLICA_TIMEOUT);
		}
		return decideByReplicas(exchange, poll);
	}

	private void reserve(Exchange exchange, Turn turn, UsagePoll poll) {
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.run(), turn.maxTokens());
		this.state
			.recordUncommitted(new Reserved(exchange.run(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.polls.put(exchange.run(), poll);
	}

	private Optional<Boolean> decideByReplicas(Exchange exchange, UsagePoll poll) {
		if (!poll.hasReplicaQuorum()) {
			if (poll.replicaQuorumLost()) {
				escalate(exchange, poll);
			}
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		boolean logReachable = this.state.connectivity == Connectivity.LOG;
		if (logReachable && poll.used() > budget) {
			finishDecision(exchange, Decider.KEEPERS, false);
			return Optional.of(false);
		}
		long limit = loglessLimit(turn.maxTokens(), budget);
		// Uncommitted usage is lost if all relays are lost. It is limited even if the log
		// seems reachable, because an outage of the log is detected with a delay.
		long limited = logReachable ? poll.uncommitted() : poll.used();
		long unseen = poll.maxUncounted(turn.maxTokens());
		boolean withinBudget = !logReachable || unseen == 0 || poll.used() + unseen <= budget + turn.maxTokens();
		if (withinBudget && limited + unseen <= limit) {
			finishDecision(exchange, Decider.KEEPERS, true);
			return Optional.of(true);
		}
		if (limited > limit || !poll.awaitsReplicas()) {
			escalate(exchange, poll);
		}
		return Optional.empty();
	}

	// Without a decision of the replicas the log decides. Without the log all relays are
	// polled, because one of them may reach the log.
	private void escalate(Exchange exchange, UsagePoll poll) {
		switch (this.state.connectivity) {
			case LOG -> {
				poll.waitForLog();
				poll.timerStarted();
				reserveInLog(exchange);
			}
			case RELAYS -> reserveOnAllRelays(exchange);
			case NOTHING -> this.completion.budgetUndecided(exchange);
		}
	}

	private void reserveInLog(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		this.state.conditionalReservations.put(exchange.run(), exchange.number());
		this.state.write(new Reserved(exchange.run(), turn.program(), turn.maxTokens(), "", List.of(), true));
		this.state.startTimer(exchange, RelaySettings.LOG_DECISION_TIMEOUT, TimerKind.BUDGET_DECISION);
	}

	/**
	 * Reserves a turn here and on all other relays and requests their usage. Of two
	 * relays that do this concurrently at least one counts the other's turn: both reserve
	 * before they send requests, their majorities share a relay, and that relay adds each
	 * reservation before it replies. A majority counts only with a replica of the program
	 * in it, so earlier decisions of the replicas are counted too.
	 * @param exchange the exchange
	 */
	private void reserveOnAllRelays(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		UsagePoll poll = Optional.ofNullable(this.state.polls.get(exchange.run()))
			.orElseGet(() -> new UsagePoll(exchange.number(), exchange.run(), List.of()));
		poll.waitForAllRelays(this.state.name);
		exchange.markReservedOnAll();
		reserve(exchange, turn, poll);
		this.state.write(new Reserved(exchange.run(), turn.program(), turn.maxTokens(), "", List.of(), false));
		this.state.emit(new RelayEffect.RequestReservation(List.of(), exchange.run(), turn.program(), turn.maxTokens(),
				turn.budget().orElseThrow()));
		startTimer(exchange, poll, RelaySettings.QUORUM_TIMEOUT);
	}

	private void startTimer(Exchange exchange, UsagePoll poll, Duration delay) {
		poll.timerStarted();
		this.state.startTimer(exchange, delay, TimerKind.BUDGET_DECISION);
	}

	/**
	 * Escalates a decision that has timed out: from the replicas to the log, from the log
	 * to all relays, and from these to the log through another relay before the turn is
	 * refused. An outage of the log is often detected by this timeout first.
	 * @param exchange the exchange
	 */
	void decisionTimedOut(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_BUDGET) {
			return;
		}
		UsagePoll poll = this.state.polls.get(exchange.run());
		// A timer of an earlier stage must not cut the timeout of the current stage
		// short.
		if (poll != null && !poll.timerFired()) {
			return;
		}
		if (poll != null && poll.stage() == UsagePoll.Stage.REPLICAS) {
			escalate(exchange, poll);
			return;
		}
		if ((poll == null || poll.stage() == UsagePoll.Stage.LOG) && this.state.connectivity != Connectivity.NOTHING) {
			reserveOnAllRelays(exchange);
			return;
		}
		if (poll != null && (poll.logReachable() || this.state.connectivity == Connectivity.LOG)
				&& poll.extendTimeout()) {
			requestLogReservation(exchange, poll);
			startTimer(exchange, poll, RelaySettings.FINAL_LOG_DECISION_TIMEOUT);
			return;
		}
		this.completion.budgetUndecided(exchange);
	}

	/**
	 * Asks all relays about a turn that waits for the log, which this relay can't reach
	 * now, unless they have been asked already.
	 * @param exchange the exchange
	 */
	void logLost(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_BUDGET) {
			return;
		}
		if (this.state.connectivity == Connectivity.NOTHING) {
			this.completion.budgetUndecided(exchange);
			return;
		}
		Optional<UsagePoll> poll = Optional.ofNullable(this.state.polls.get(exchange.run()));
		if (poll.filter((known) -> known.stage() == UsagePoll.Stage.RELAYS).isPresent()) {
			return;
		}
		reserveOnAllRelays(exchange);
		if (poll.isEmpty()) {
			// The timer of the log is still pending.
			this.state.polls.get(exchange.run()).timerStarted();
		}
	}

	/**
	 * Decides a turn of this relay at the position of its reservation in the log. All
	 * entries before that position have been applied, and no relay counts later ones
	 * first.
	 * @param exchange the exchange
	 * @return the refusal, or empty if the budget admits the turn
	 */
	Optional<Refusal> decideInLogOrder(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		Optional<UsagePoll> poll = Optional.ofNullable(this.state.polls.get(exchange.run()));
		boolean admitted = admits(exchange.run(), turn.program(), turn.maxTokens(), turn.budget().orElseThrow());
		boolean covered = poll.isEmpty() || coversConcurrentTurns(poll.get(), turn);
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.run(), turn.maxTokens());
		finishDecision(exchange, Decider.LOG, admitted && covered);
		if (admitted && covered) {
			return Optional.empty();
		}
		return Optional.of(admitted ? Refusal.LOG_LOST : Refusal.BUDGET_SPENT);
	}

	// Replicas may admit other turns whose entries follow in the log. A replica that has
	// replied counts them; without a reply as many turns are assumed as usually start
	// together. Such a refusal asks the caller to retry, as the budget may not be spent.
	private boolean coversConcurrentTurns(UsagePoll poll, Turn turn) {
		long budget = turn.budget().orElseThrow();
		if (poll.coversReplicaDecisions()) {
			return poll.used() <= budget;
		}
		long concurrent = (long) RelaySettings.ASSUMED_CONCURRENT_TURNS * turn.maxTokens();
		return this.state.tokens.usedExcluding(turn.program(), poll.run()) + concurrent <= budget + turn.maxTokens();
	}

	private boolean admits(RunId run, String program, int maxTokens, long budget) {
		return this.state.tokens.usedExcluding(program, run) + maxUnknown(maxTokens, budget) + maxTokens <= budget;
	}

	/**
	 * Adds the usage that another relay reported to a poll.
	 * @param usage the reported usage
	 * @return whether the budget admits the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> usageReceived(RelayEvent.UsageReceived usage) {
		UsagePoll poll = this.state.findPoll(usage.run()).orElse(null);
		if (poll == null || poll.stage() == UsagePoll.Stage.LOG) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange());
		poll.addUsage(usage.peer(), usage.tokens(), usage.uncommitted());
		if (usage.tokens() > exchange.head().turn().orElseThrow().maxTokens()) {
			exchange.markProgramBegun();
		}
		return (poll.stage() == UsagePoll.Stage.REPLICAS) ? decideByReplicas(exchange, poll)
				: decideByMajority(exchange, poll, usage);
	}

	/**
	 * Records that a replica has reserved a turn but can't report the usage.
	 * @param unavailable the event
	 */
	void usageUnavailable(RelayEvent.UsageUnavailable unavailable) {
		UsagePoll poll = this.state.findPoll(unavailable.run()).orElse(null);
		if (poll != null && poll.stage() == UsagePoll.Stage.REPLICAS) {
			poll.unavailable();
			decideByReplicas(this.state.exchanges.get(poll.exchange()), poll);
		}
	}

	private Optional<Boolean> decideByMajority(Exchange exchange, UsagePoll poll, RelayEvent.UsageReceived usage) {
		// If any relay reaches the log, turns may be admitted there that no majority
		// counts, so the log decides. Only one relay at a time is asked to append the
		// reservation, because log calls are billed.
		if (usage.logReachable()) {
			boolean first = !poll.logReachable();
			poll.addLogRelay(usage.peer());
			if (first) {
				requestLogReservation(exchange, poll);
			}
		}
		if (poll.logReachable() || !poll.hasRelayMajority(usage.otherRelays())) {
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		long used = Math.max(poll.used(), this.state.tokens.used(turn.program()))
				+ maxUnknown(turn.maxTokens(), budget);
		boolean admitted = used <= loglessLimit(turn.maxTokens(), budget);
		finishDecision(exchange, Decider.MAJORITY, admitted);
		return Optional.of(admitted);
	}

	/**
	 * Finishes the decision on a turn that another relay reserved in the log for this
	 * one.
	 * @param decision the decision in the order of the log
	 * @return the exchange of the turn, or empty if it is decided already
	 */
	Optional<Exchange> logDecisionReceived(RelayEvent.LogDecisionReceived decision) {
		UsagePoll poll = this.state.findPoll(decision.run()).orElse(null);
		if (poll == null) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange());
		finishDecision(exchange, Decider.PLACE, decision.admitted());
		return Optional.of(exchange);
	}

	/**
	 * Returns whether the usage that replicas reported admits a turn. The relay that
	 * reserved it in the log may be no replica of the program, and turns that were
	 * admitted without the log are missing there.
	 * @param decision the decision in the order of the log
	 * @return whether it does, by the replies received so far
	 */
	boolean fitsReplicaUsage(RelayEvent.LogDecisionReceived decision) {
		UsagePoll poll = this.state.findPoll(decision.run()).orElse(null);
		if (poll == null || !poll.hasReplicas()) {
			return true;
		}
		Turn turn = this.state.exchanges.get(poll.exchange()).head().turn().orElseThrow();
		return poll.used() <= turn.budget().orElseThrow();
	}

	private void requestLogReservation(Exchange exchange, UsagePoll poll) {
		Turn turn = exchange.head().turn().orElseThrow();
		poll.nextLogRelay()
			.ifPresent((relay) -> this.state.emit(new RelayEffect.RequestLogReservation(relay, exchange.run(),
					turn.program(), turn.maxTokens(), turn.budget().orElseThrow())));
	}

	private void finishDecision(Exchange exchange, Decider by, boolean admitted) {
		UsagePoll poll = this.state.polls.remove(exchange.run());
		this.state.conditionalReservations.remove(exchange.run());
		if (by == Decider.KEEPERS && admitted) {
			// The notice of the dispatch implies this decision.
			return;
		}
		this.state.report(
				RelayNotices.turnDecided(exchange, by, (poll != null) ? poll.responders() : 0, admitted, this.state));
	}

	/**
	 * Reserves a turn of another relay and replies with the usage of its program, or that
	 * the usage is not available here because entries may be missing. If the request is
	 * for a reservation through the log, appends that reservation instead; the decision
	 * follows at its position in the log.
	 * @param requested the request
	 */
	void reservationRequested(RelayEvent.ReservationRequested requested) {
		if (requested.throughLog()) {
			if (this.state.upToDate()) {
				this.state.proxiedReservations.put(requested.run(), requested);
				this.state.write(
						new Reserved(requested.run(), requested.program(), requested.maxTokens(), "", List.of(), true));
			}
			return;
		}
		this.state.tokens.reserve(requested.program(), requested.run(), requested.maxTokens());
		this.state.uncommitted.add(
				new Reserved(requested.run(), requested.program(), requested.maxTokens(), "", List.of(), false),
				requested.peer(), requested.now());
		if (!this.state.upToDate()) {
			this.state.emit(new RelayEffect.SendUsageUnavailable(requested.peer(), requested.run()));
			return;
		}
		boolean logReachable = this.state.connectivity == Connectivity.LOG;
		this.state.emit(new RelayEffect.SendUsage(requested.peer(), requested.run(),
				this.state.tokens.used(requested.program()), this.state.uncommitted.tokensOf(requested.program()),
				logReachable, logReachable ? List.of() : this.state.uncommitted.entriesOf(requested.program()),
				this.state.upstreams.recentLoads(requested.now())));
	}

	/**
	 * Decides a turn of another relay once its reservation, appended here, is read from
	 * the log.
	 * @param reserved the reservation
	 */
	void reservationCommitted(Reserved reserved) {
		RelayEvent.ReservationRequested requested = this.state.proxiedReservations.remove(reserved.run());
		if (requested != null) {
			boolean admitted = admits(requested.run(), requested.program(), requested.maxTokens(), requested.budget());
			this.state.emit(new RelayEffect.SendLogDecision(requested.peer(), requested.run(), admitted));
		}
	}

	/**
	 * Decision from local state. Safe for use by several threads.
	 */
	enum Admission {

		/**
		 * The turn may run.
		 */
		ADMITTED,

		/**
		 * The replicas, the log or other relays have to decide.
		 */
		UNDECIDED,

		/**
		 * The turn exceeds its program's budget.
		 */
		REFUSED

	}

	/**
	 * Source of a decision, written to notices by name. Safe for use by several threads.
	 */
	enum Decider {

		/**
		 * A quorum of the program's replicas.
		 */
		KEEPERS,

		/**
		 * The order of the log, read by this relay.
		 */
		LOG,

		/**
		 * The order of the log, read by another relay.
		 */
		PLACE,

		/**
		 * A majority of all relays.
		 */
		MAJORITY

	}

}
