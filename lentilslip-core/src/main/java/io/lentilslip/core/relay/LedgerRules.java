package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

/**
 * What relays write down and tell each other, and what follows from it. Used by one
 * thread.
 */
final class LedgerRules {

	private final RelayState state;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final ExchangeCompletion ends;

	private final DuplicateEntryCounter copies = new DuplicateEntryCounter();

	LedgerRules(RelayState state, RequestRules requests, BudgetRules budgets, ExchangeCompletion ends) {
		this.state = state;
		this.requests = requests;
		this.budgets = budgets;
		this.ends = ends;
	}

	void entriesRead(RelayEvent.EntriesReceived read) {
		for (LedgerEntry entry : read.entries()) {
			read.sender()
				.ifPresentOrElse((teller) -> this.state.unlogged.told(entry, teller, read.now()), () -> logged(entry));
			switch (entry) {
				case LedgerEntry.Reserved reserved -> reserved(reserved, read.fromLog());
				case LedgerEntry.Settled settled -> settledElsewhere(settled, read.sender());
				case LedgerEntry.Blamed blamed ->
					this.state.poisonRequests.recordFailure(blamed.digest(), blamed.upstream());
			}
		}
		if (read.fromLog()) {
			adopt();
			this.copies.drain().forEach((measured) -> this.state.emit(new RelayEffect.RecordMeasurement(measured)));
		}
		this.requests.dispatchWaiting();
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

	void takenTold(RelayEvent.UsageReceived told) {
		Poll poll = this.state.polls.get(told.request());
		this.budgets.told(told)
			.ifPresent((held) -> dispatchIf(this.state.exchanges.get(poll.exchange()), held, poll.otherwise()));
	}

	void takenUnsure(RelayEvent.UsageUnavailable unsure) {
		this.budgets.unsure(unsure);
	}

	void placeTold(RelayEvent.LogDecisionReceived told) {
		boolean held = told.admitted() && this.budgets.leavesRoom(told);
		this.budgets.placeTold(told)
			.ifPresent((exchange) -> dispatchIf(exchange, held,
					told.admitted() ? Refusal.LOG_LOST : Refusal.BUDGET_SPENT));
	}

	void caughtUp(RelayEvent.CaughtUp event) {
		this.state.report(RelayNotices.logCaughtUp(event));
		if (!this.state.caughtUp && event.idle().isPresent()) {
			this.state.logWasRecent = event.idle().get().compareTo(RelaySettings.RECENT_WRITE_AGE) < 0;
		}
		this.state.caughtUpAt = event.now();
		this.state.caughtUp = true;
		this.state.stale = false;
		if (!this.state.ledgerComplete && !this.state.logWasRecent) {
			this.state.emit(new RelayEffect.RequestSync());
		}
		this.requests.dispatchWaiting();
	}

	private void adopt() {
		if (this.state.now - this.state.logReadAt > RelaySettings.LOG_OUTAGE_THRESHOLD.toMillis()) {
			this.state.unlogged.logBack(this.state.now);
		}
		this.state.logReadAt = this.state.now;
		List<LedgerEntry> overdue = this.state.unlogged.overdue(this.state.name, this.state.linkedPeers, this::holders,
				this.state.now);
		overdue.forEach(this.state::write);
		if (!overdue.isEmpty()) {
			this.state.report(RelayNotices.entriesAdopted(overdue.size()));
		}
	}

	private List<String> holders(LedgerEntry entry) {
		return entry.ofProgram().map(this.state.keepers::of).orElse(List.of());
	}

	private void reserved(LedgerEntry.Reserved reserved, boolean fromLog) {
		if (fromLog) {
			this.budgets.placed(reserved);
		}
		Long own = this.state.contending.remove((fromLog && reserved.contending()) ? reserved.request() : "");
		if (own != null) {
			Exchange exchange = this.state.exchanges.get(own);
			this.budgets.ordered(exchange)
				.ifPresentOrElse((refusal) -> this.ends.giveUp(exchange, refusal),
						() -> this.requests.dispatch(exchange));
			return;
		}
		if (!reserved.contending() || fromLog) {
			reservedElsewhere(reserved);
		}
	}

	private void reservedElsewhere(LedgerEntry.Reserved reserved) {
		this.state.tokens.reserve(reserved.program(), reserved.request(), reserved.tokens());
		if (this.state.tokens.open(reserved.program(), reserved.request())) {
			this.state.upstreams.findIncarnation(reserved.upstream()).ifPresent((known) -> {
				this.state.upstreams.requestStarted(reserved.request(), known, this.state.now);
				known.addToCache(reserved.prompt(), this.state.memory(known.upstream()));
			});
		}
	}

	private void settledElsewhere(LedgerEntry.Settled settled, Optional<String> teller) {
		this.state.tokens.settle(settled.program(), settled.request(), settled.tokens());
		settled.text().ifPresent((place) -> this.state.turnCache.recordLocation(settled.request(), place, teller));
		this.state.upstreams.requestEnded(settled.request());
	}

}
