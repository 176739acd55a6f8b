package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.Reminder;

/**
 * What relays write down and tell each other, and what follows from it. Used by one
 * thread.
 */
final class LedgerRules {

	/**
	 * How many times the time alone passes before help is asked for again, of others.
	 */
	private static final int HELP_PAUSES = 4;

	private final RelayState state;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final ExchangeEnds ends;

	private final LogCopies copies = new LogCopies();

	LedgerRules(RelayState state, RequestRules requests, BudgetRules budgets, ExchangeEnds ends) {
		this.state = state;
		this.requests = requests;
		this.budgets = budgets;
		this.ends = ends;
	}

	void entriesRead(RelayEvent.EntriesRead read) {
		for (LedgerEntry entry : read.entries()) {
			if (read.fromLog()) {
				logged(entry);
			}
			else {
				this.state.unlogged.told(entry, read.now());
			}
			switch (entry) {
				case LedgerEntry.Reserved reserved -> reserved(reserved, read.fromLog());
				case LedgerEntry.Settled settled -> settledElsewhere(settled);
				case LedgerEntry.Blamed blamed -> this.state.blames.add(blamed.digest(), blamed.upstream());
			}
		}
		if (read.fromLog()) {
			adopt();
			this.copies.take().forEach((measured) -> this.state.emit(new RelayEffect.Measure(measured)));
		}
		dispatchWaiting();
	}

	private void logged(LedgerEntry entry) {
		if (this.state.unlogged.logged(entry)) {
			this.copies.add(entry);
		}
	}

	private void dispatchIf(Exchange exchange, boolean held, Refusal otherwise) {
		if (held) {
			this.requests.dispatch(exchange);
			return;
		}
		this.ends.giveUp(exchange, otherwise);
	}

	void takenTold(RelayEvent.TakenTold told) {
		BudgetRules.Poll poll = this.state.polls.get(told.request());
		this.budgets.told(told)
			.ifPresent((held) -> dispatchIf(this.state.exchanges.get(poll.exchange()), held, Refusal.LOG_LOST));
	}

	void placeTold(RelayEvent.PlaceTold told) {
		this.budgets.placeTold(told).ifPresent((exchange) -> dispatchIf(exchange, told.held(), Refusal.BUDGET_SPENT));
	}

	void caughtUp(RelayEvent.CaughtUp event) {
		this.state.tell(RelayNotices.caughtUp(event));
		if (!this.state.caughtUp && event.age().isPresent()) {
			this.state.logWasRecent = event.age().get().compareTo(RelaySettings.RECENT) < 0;
		}
		this.state.caughtUpAt = event.now();
		this.state.caughtUp = true;
		this.state.stale = false;
		dispatchWaiting();
	}

	private void dispatchWaiting() {
		if (this.state.stale) {
			return;
		}
		for (Exchange exchange : List.copyOf(this.state.waiting.values())) {
			if (this.requests.findChain(exchange, exchange.head().turn().orElseThrow())) {
				this.requests.dispatch(exchange);
			}
		}
	}

	private void adopt() {
		if (this.state.now - this.state.logReadAt > RelaySettings.LOG_GAP.toMillis()) {
			this.state.unlogged.logBack(this.state.now);
		}
		this.state.logReadAt = this.state.now;
		List<LedgerEntry> overdue = this.state.unlogged.overdue(this.state.now);
		overdue.forEach((entry) -> this.state.emit(new RelayEffect.Write(entry)));
		if (!overdue.isEmpty()) {
			this.state.tell(RelayNotices.adopted(overdue.size()));
		}
	}

	private void reserved(LedgerEntry.Reserved reserved, boolean fromLog) {
		if (fromLog) {
			this.budgets.placed(reserved);
		}
		Long own = this.state.contending.remove((fromLog && reserved.contending()) ? reserved.request() : "");
		if (own != null) {
			Exchange exchange = this.state.exchanges.get(own);
			dispatchIf(exchange, this.budgets.ordered(exchange), Refusal.BUDGET_SPENT);
			return;
		}
		if (!reserved.contending() || fromLog) {
			reservedElsewhere(reserved);
		}
	}

	private void reservedElsewhere(LedgerEntry.Reserved reserved) {
		this.state.tokens.reserve(reserved.program(), reserved.request(), reserved.tokens());
		if (this.state.tokens.open(reserved.program(), reserved.request())) {
			this.state.upstreams.ofLife(reserved.upstream()).ifPresent((known) -> {
				this.state.upstreams.began(reserved.request(), known, this.state.now);
				known.read(reserved.prompt(), this.state.memory(known.upstream()));
			});
		}
	}

	private void settledElsewhere(LedgerEntry.Settled settled) {
		this.state.tokens.settle(settled.program(), settled.request(), settled.tokens());
		settled.kept().ifPresent((kept) -> this.state.turns.add(settled.request(), kept));
		this.state.upstreams.ended(settled.request());
	}

	void stored(String request) {
		String helped = this.state.helping.remove(request);
		if (helped != null) {
			this.state.emit(new RelayEffect.TellStored(helped, request));
		}
		Long number = this.state.ending.get(request);
		if (number != null) {
			this.ends.endStream(this.state.exchanges.get(number));
		}
	}

	/**
	 * Asks others to write a turn that this relay can't write itself: the store may turn
	 * away some relays and serve others. The end of the turn still waits for the log, for
	 * the loss of all relays at once must not lose a turn that its caller saw whole.
	 * @param exchange the exchange
	 */
	void storeDue(Exchange exchange) {
		if (exchange.phase() == Phase.ENDING) {
			this.state.emit(new RelayEffect.AskForHelp(exchange.head().id()));
			this.state.remind(exchange, RelaySettings.ALONE.multipliedBy(HELP_PAUSES), Reminder.STORED);
		}
	}

	void helpAsked(RelayEvent.HelpAsked asked) {
		for (String request : asked.requests()) {
			Optional<LedgerEntry> turn = this.state.unlogged.turn(request);
			if (turn.isPresent() && !this.state.helping.containsKey(request)) {
				this.state.helping.put(request, asked.peer());
				this.state.emit(new RelayEffect.Write(turn.get()));
			}
		}
	}

}
