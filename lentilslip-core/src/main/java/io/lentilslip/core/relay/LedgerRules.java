package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement.StreamResumed.Source;

/**
 * Rules that apply ledger entries from the log and from other relays, and that act on the
 * budget decisions that follow from them. Used by one thread.
 */
final class LedgerRules {

	private final RelayState state;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final ExchangeCompletion completion;

	private final RenewalRules renewals;

	private final DuplicateEntryCounter duplicates = new DuplicateEntryCounter();

	LedgerRules(RelayState state, RequestRules requests, BudgetRules budgets, ExchangeCompletion completion,
			RenewalRules renewals) {
		this.state = state;
		this.requests = requests;
		this.budgets = budgets;
		this.completion = completion;
		this.renewals = renewals;
	}

	void entriesReceived(RelayEvent.EntriesReceived received) {
		for (int i = 0; i < received.entries().size(); i++) {
			LedgerEntry entry = received.entries().get(i);
			received.sender()
				.ifPresentOrElse((sender) -> this.state.uncommitted.add(entry, sender, received.now()),
						() -> committed(entry));
			if (received.fromLog()) {
				this.renewals.entryRead(entry, received.writtenAt(i));
			}
			switch (entry) {
				case LedgerEntry.Reserved reserved -> {
					long writtenAt = received.writtenAt(i);
					reserved.stream().ifPresent((attempt) -> {
						this.state.recordStreamAttempt(reserved.run(), attempt);
						if (received.fromLog()) {
							this.state.recordLoggedStream(attempt, writtenAt);
						}
					});
					reserved(reserved, received.fromLog());
				}
				case LedgerEntry.Settled settled -> settled(settled, received.sender());
				case LedgerEntry.UsageRenewed renewed -> this.state.tokens.apply(renewed);
				case LedgerEntry.UpstreamFailed failed -> this.state.recordFailure(failed);
			}
		}
		if (received.fromLog()) {
			appendOverdue();
			this.duplicates.drain()
				.forEach((measurement) -> this.state.emit(new RelayEffect.RecordMeasurement(measurement)));
		}
		this.requests.resumeWaiting(Source.LEDGER);
		this.requests.dispatchWaiting();
	}

	private void committed(LedgerEntry entry) {
		if (this.state.uncommitted.committed(entry)) {
			this.duplicates.add(entry);
		}
	}

	private void dispatchOrRefuse(Exchange exchange, boolean admitted, Refusal refusal) {
		if (admitted) {
			this.requests.dispatch(exchange);
			return;
		}
		this.completion.giveUp(exchange, refusal);
	}

	void usageReceived(RelayEvent.UsageReceived usage) {
		UsagePoll poll = this.state.findPoll(usage.run()).orElse(null);
		this.budgets.usageReceived(usage)
			.ifPresent((admitted) -> dispatchOrRefuse(this.state.exchanges.get(poll.exchange()), admitted,
					poll.refusal()));
	}

	void usageUnavailable(RelayEvent.UsageUnavailable unavailable) {
		this.budgets.usageUnavailable(unavailable);
	}

	void logDecisionReceived(RelayEvent.LogDecisionReceived decision) {
		boolean admitted = decision.admitted() && this.budgets.fitsReplicaUsage(decision);
		this.budgets.logDecisionReceived(decision)
			.ifPresent((exchange) -> dispatchOrRefuse(exchange, admitted,
					decision.admitted() ? Refusal.LOG_LOST : Refusal.BUDGET_SPENT));
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

	private void appendOverdue() {
		if (this.state.now - this.state.lastLogReadAt > RelaySettings.LOG_OUTAGE_THRESHOLD.toMillis()) {
			this.state.uncommitted.restartTimeouts(this.state.now);
		}
		this.state.lastLogReadAt = this.state.now;
		List<LedgerEntry> overdue = this.state.uncommitted.takeOverdue(this.state.name, this.state.linkedPeers,
				this::replicasOf, this.state.now);
		overdue.forEach(this.state::write);
		if (!overdue.isEmpty()) {
			this.state.report(RelayNotices.entriesAdopted(overdue.size()));
		}
	}

	private List<String> replicasOf(LedgerEntry entry) {
		return entry.findProgram().map(this.state.replicas::replicasOf).orElse(List.of());
	}

	private void reserved(LedgerEntry.Reserved reserved, boolean fromLog) {
		if (fromLog) {
			this.budgets.reservationCommitted(reserved);
		}
		Long exchangeNumber = (fromLog && reserved.conditional())
				? this.state.conditionalReservations.remove(reserved.run()) : null;
		if (exchangeNumber != null) {
			Exchange exchange = this.state.exchanges.get(exchangeNumber);
			this.budgets.decideInLogOrder(exchange)
				.ifPresentOrElse((refusal) -> this.completion.giveUp(exchange, refusal),
						() -> this.requests.dispatch(exchange));
			return;
		}
		if (!reserved.conditional() || fromLog) {
			applyReservation(reserved);
		}
	}

	private void applyReservation(LedgerEntry.Reserved reserved) {
		this.state.tokens.reserve(reserved.program(), reserved.run(), reserved.maxTokens());
		if (this.state.tokens.isOpen(reserved.program(), reserved.run())) {
			this.state.upstreams.findIncarnation(reserved.upstream()).ifPresent((upstream) -> {
				this.state.upstreams.requestStarted(reserved.run(), upstream, this.state.now);
				upstream.addToCache(reserved.prompt(), this.state.cacheTokens(upstream.upstream()));
			});
		}
	}

	private void settled(LedgerEntry.Settled settled, Optional<String> sender) {
		this.state.tokens.settle(settled.program(), settled.run(), settled.tokens());
		settled.textLocation().ifPresent((location) -> {
			this.state.turnCache.recordLocation(settled.run(), location, sender);
			this.state.raiseTextOffset(location);
			this.state.poisonRequests.recordAnswer(settled.run());
		});
		this.state.upstreams.requestEnded(settled.run());
	}

}
