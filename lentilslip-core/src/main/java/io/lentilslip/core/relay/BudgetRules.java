package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.LedgerEntry.Reserved;
import io.lentilslip.core.relay.RelayEvent.Reach;
import io.lentilslip.core.relay.RelayEvent.Reminder;
import io.lentilslip.core.relay.RequestHead.Turn;

/**
 * Whether a program's budget holds a turn. Far from the end of the budget a relay decides
 * alone; near it the log's order decides; and without the log a majority of the relays,
 * within half of the budget. That half is what a program may have been given without a
 * trace if all relays are lost before the log is back, so a relay that may have missed
 * such turns counts it as spent, but for the one turn by which a budget may be passed.
 * Used by one thread.
 */
final class BudgetRules {

	/**
	 * The part of a budget that may be given without the log. Half: programs that end by
	 * themselves take a fifth of theirs in the middle and half in 19 of 20 cases, so both
	 * sides of an outage have room for them.
	 */
	private static final int PART_WITHOUT_LOG = 2;

	private final RelayState state;

	private final ExchangeEnds ends;

	BudgetRules(RelayState state, ExchangeEnds ends) {
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
		long taken = this.state.tokens.taken(turn.program()) + missed(turn.most(), budget.getAsLong());
		if (taken + turn.most() > budget.getAsLong()) {
			return Admission.REFUSED;
		}
		long atOnce = (long) RelaySettings.TURNS_AT_ONCE * turn.most();
		return (taken + atOnce <= boundAlone(turn, budget.getAsLong())) ? Admission.ADMITTED : Admission.CONTENDING;
	}

	private long boundAlone(Turn turn, long budget) {
		if (this.state.reach != Reach.LOG) {
			return withoutLog(turn.most(), budget);
		}
		return this.state.complete ? budget + turn.most() : budget;
	}

	private static long withoutLog(int most, long budget) {
		return Math.max(most, budget / PART_WITHOUT_LOG);
	}

	// What programs may have been given that neither the log nor this relay knows of.
	private long missed(int most, long budget) {
		return this.state.complete ? 0 : withoutLog(most, budget) - most;
	}

	/**
	 * Has the log's order decide on a turn, or the other relays.
	 * @param exchange the exchange
	 */
	void contend(Exchange exchange) {
		exchange.become(Phase.WAITING_FOR_ORDER);
		switch (this.state.reach) {
			case LOG -> contendInLog(exchange);
			case RELAYS -> askRelays(exchange);
			// Refused at once, the caller has time for a relay that can know.
			case NOTHING -> this.ends.giveUp(exchange, Refusal.LOG_LOST);
		}
	}

	private void contendInLog(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		this.state.contending.put(exchange.head().id(), exchange.number());
		this.state.emit(new RelayEffect.Write(
				new Reserved(exchange.head().id(), turn.program(), turn.most(), "", List.of(), true)));
		this.state.remind(exchange, RelaySettings.ORDER_PATIENCE, Reminder.ORDER);
	}

	/**
	 * Asks the other relays what is taken of the budget, after the turn is held back here
	 * and they were told so. Of two relays that do this at once, at least one hears of
	 * the other's turn: each is answered by a majority, a relay that is in both counts
	 * what it is told before it answers, and both hold their turns back before they ask.
	 * @param exchange the exchange
	 */
	private void askRelays(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		exchange.reserve();
		this.state.tokens.reserve(turn.program(), exchange.head().id(), turn.most());
		this.state.polls.put(exchange.head().id(), new Poll(exchange.number()));
		this.state.emit(new RelayEffect.Write(
				new Reserved(exchange.head().id(), turn.program(), turn.most(), "", List.of(), false)));
		this.state.emit(new RelayEffect.AskTaken(exchange.head().id(), turn.program(), turn.most(),
				turn.budget().orElseThrow()));
		this.state.remind(exchange, RelaySettings.RELAYS_WAIT, Reminder.ORDER);
	}

	/**
	 * Looks at a turn that has waited for its place in the log, or for other relays. A
	 * log that is slow or just gone is found out here first, so the others are asked
	 * before the turn is given up.
	 * @param exchange the exchange
	 */
	void orderDue(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_ORDER) {
			return;
		}
		Poll poll = this.state.polls.get(exchange.head().id());
		if (poll == null && this.state.reach != Reach.NOTHING) {
			askRelays(exchange);
			return;
		}
		if (poll != null && !poll.extended && (poll.log() || this.state.reach == Reach.LOG)) {
			poll.extended = true;
			askPlace(exchange, poll);
			this.state.remind(exchange, RelaySettings.ORDER_WAIT, Reminder.ORDER);
			return;
		}
		this.ends.orderLost(exchange);
	}

	/**
	 * Takes the place in the log of a turn of this relay: everything before it there is
	 * known now, and no relay takes anything after it into account first.
	 * @param exchange the exchange
	 * @return whether the budget holds the turn
	 */
	boolean ordered(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		boolean held = holds(exchange.head().id(), turn.program(), turn.most(), turn.budget().orElseThrow());
		exchange.reserve();
		this.state.tokens.reserve(turn.program(), exchange.head().id(), turn.most());
		decided(exchange, Decider.LOG, held);
		return held;
	}

	private boolean holds(String request, String program, int most, long budget) {
		return this.state.tokens.takenWithout(program, request) + missed(most, budget) + most <= budget;
	}

	/**
	 * Takes another relay's answer to a question of this one.
	 * @param told the answer
	 * @return whether the budget holds the turn, or empty if that is not decided yet
	 */
	Optional<Boolean> told(RelayEvent.TakenTold told) {
		Poll poll = this.state.polls.get(told.request());
		if (poll == null) {
			return Optional.empty();
		}
		poll.answers++;
		poll.most = Math.max(poll.most, told.tokens());
		Exchange exchange = this.state.exchanges.get(poll.exchange);
		// Where one reaches the log, others may give turns there that no majority knows
		// of, so the log decides for all. One relay is asked for a place, since each call
		// of the log is priced; if it does not answer, the next one is.
		if (told.log()) {
			poll.placers.add(told.peer());
			if (poll.placed == 0) {
				askPlace(exchange, poll);
			}
		}
		if (poll.log() || poll.answers < (told.others() + 1) / 2) {
			return Optional.empty();
		}
		Turn turn = exchange.head().turn().orElseThrow();
		long budget = turn.budget().orElseThrow();
		long taken = Math.max(poll.most, this.state.tokens.taken(turn.program())) + missed(turn.most(), budget);
		boolean held = taken <= withoutLog(turn.most(), budget);
		decided(exchange, Decider.MAJORITY, held);
		return Optional.of(held);
	}

	/**
	 * Takes what another relay read from the log of a turn of this one.
	 * @param told what it read
	 * @return the exchange of the turn, or empty if it is decided already
	 */
	Optional<Exchange> placeTold(RelayEvent.PlaceTold told) {
		Poll poll = this.state.polls.get(told.request());
		if (poll == null) {
			return Optional.empty();
		}
		Exchange exchange = this.state.exchanges.get(poll.exchange);
		decided(exchange, Decider.PLACE, told.held());
		return Optional.of(exchange);
	}

	private void askPlace(Exchange exchange, Poll poll) {
		if (poll.placed < poll.placers.size()) {
			Turn turn = exchange.head().turn().orElseThrow();
			this.state.emit(new RelayEffect.AskPlace(poll.placers.get(poll.placed), exchange.head().id(),
					turn.program(), turn.most(), turn.budget().orElseThrow()));
			poll.placed++;
		}
	}

	private void decided(Exchange exchange, Decider by, boolean held) {
		Poll poll = this.state.polls.remove(exchange.head().id());
		this.state.contending.remove(exchange.head().id());
		this.state.tell(RelayNotices.decided(exchange, by, (poll != null) ? poll.answers : 0, held, this.state));
	}

	/**
	 * Answers another relay that can't ask the log. One that may miss turns itself does
	 * not answer: it would tell less than is taken. One that reaches the log gets the
	 * turn a place there if it is asked to.
	 * @param asked the question
	 */
	void asked(RelayEvent.TakenAsked asked) {
		if (!this.state.caughtUp || this.state.stale || !this.state.complete) {
			return;
		}
		if (asked.place()) {
			this.state.placing.put(asked.request(), asked);
			this.state.emit(new RelayEffect.Write(
					new Reserved(asked.request(), asked.program(), asked.most(), "", List.of(), true)));
			return;
		}
		this.state
			.emit(new RelayEffect.TellTaken(asked.peer(), asked.request(), this.state.tokens.taken(asked.program()),
					this.state.reach == Reach.LOG, this.state.unlogged.of(asked.program())));
	}

	/**
	 * Takes a place in the log, which may be one that this relay got for another.
	 * @param reserved what stands there
	 */
	void placed(Reserved reserved) {
		RelayEvent.TakenAsked asked = this.state.placing.remove(reserved.request());
		if (asked != null) {
			boolean held = holds(asked.request(), asked.program(), asked.most(), asked.budget());
			this.state.emit(new RelayEffect.TellPlace(asked.peer(), asked.request(), held));
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

	/**
	 * The answers to a question of this relay. Used by one thread.
	 */
	static final class Poll {

		private final long exchange;

		private int answers;

		private long most;

		private final List<String> placers = new ArrayList<>();

		private int placed;

		private boolean extended;

		Poll(long exchange) {
			this.exchange = exchange;
		}

		long exchange() {
			return this.exchange;
		}

		boolean log() {
			return !this.placers.isEmpty();
		}

	}

}
