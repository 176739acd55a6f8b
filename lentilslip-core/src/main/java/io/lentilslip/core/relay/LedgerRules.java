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

	void entriesReceived(RelayEvent.EntriesReceived read) {
		for (LedgerEntry entry : read.entries()) {
			read.sender()
				.ifPresentOrElse((teller) -> this.state.uncommitted.add(entry, teller, read.now()),
						() -> logged(entry));
			switch (entry) {
				case LedgerEntry.Reserved reserved -> reserved(reserved, read.fromLog());
				case LedgerEntry.Settled settled -> settledElsewhere(settled, read.sender());
				case LedgerEntry.UpstreamFailed blamed ->
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
		if (this.state.uncommitted.committed(entry)) {
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

	void usageReceived(RelayEvent.UsageReceived told) {
		UsagePoll poll = this.state.polls.get(told.request());
		this.budgets.usageReceived(told)
			.ifPresent((held) -> dispatchIf(this.state.exchanges.get(poll.exchange()), held, poll.refusal()));
	}

	void usageUnavailable(RelayEvent.UsageUnavailable unsure) {
		this.budgets.usageUnavailable(unsure);
	}

	void logDecisionReceived(RelayEvent.LogDecisionReceived told) {
		boolean held = told.admitted() && this.budgets.fitsReplicaUsage(told);
		this.budgets.logDecisionReceived(told)
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
		this.state.logStale = false;
		if (!this.state.ledgerComplete && !this.state.logWasRecent) {
			this.state.emit(new RelayEffect.RequestSync());
		}
		this.requests.dispatchWaiting();
	}

	private void adopt() {
		if (this.state.now - this.state.lastLogReadAt > RelaySettings.LOG_OUTAGE_THRESHOLD.toMillis()) {
			this.state.uncommitted.restartTimeouts(this.state.now);
		}
		this.state.lastLogReadAt = this.state.now;
		List<LedgerEntry> overdue = this.state.uncommitted.takeOverdue(this.state.name, this.state.linkedPeers,
				this::holders, this.state.now);
		overdue.forEach(this.state::write);
		if (!overdue.isEmpty()) {
			this.state.report(RelayNotices.entriesAdopted(overdue.size()));
		}
	}

	private List<String> holders(LedgerEntry entry) {
		return entry.findProgram().map(this.state.replicas::replicasOf).orElse(List.of());
	}

	private void reserved(LedgerEntry.Reserved reserved, boolean fromLog) {
		if (fromLog) {
			this.budgets.reservationCommitted(reserved);
		}
		Long own = this.state.conditionalReservations
			.remove((fromLog && reserved.conditional()) ? reserved.request() : "");
		if (own != null) {
			Exchange exchange = this.state.exchanges.get(own);
			this.budgets.decideInLogOrder(exchange)
				.ifPresentOrElse((refusal) -> this.ends.giveUp(exchange, refusal),
						() -> this.requests.dispatch(exchange));
			return;
		}
		if (!reserved.conditional() || fromLog) {
			reservedElsewhere(reserved);
		}
	}

	private void reservedElsewhere(LedgerEntry.Reserved reserved) {
		this.state.tokens.reserve(reserved.program(), reserved.request(), reserved.maxTokens());
		if (this.state.tokens.isOpen(reserved.program(), reserved.request())) {
			this.state.upstreams.findIncarnation(reserved.upstream()).ifPresent((known) -> {
				this.state.upstreams.requestStarted(reserved.request(), known, this.state.now);
				known.addToCache(reserved.prompt(), this.state.cacheTokens(known.upstream()));
			});
		}
	}

	private void settledElsewhere(LedgerEntry.Settled settled, Optional<String> teller) {
		this.state.tokens.settle(settled.program(), settled.request(), settled.tokens());
		settled.textLocation()
			.ifPresent((place) -> this.state.turnCache.recordLocation(settled.request(), place, teller));
		this.state.upstreams.requestEnded(settled.request());
	}

}
