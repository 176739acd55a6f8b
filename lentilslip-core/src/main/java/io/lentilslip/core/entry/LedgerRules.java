package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.budget.LogClock;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerChange;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.LogView;

/**
 * Rules for events of the log. Confined to one application of the reducer.
 */
final class LedgerRules {

	private static final Duration APPEND_RETRY_DELAY = Duration.ofMillis(100);

	private final Draft draft;

	private final RouteRules routes;

	private final BudgetRules budgets;

	LedgerRules(Draft draft, RouteRules routes) {
		this.draft = draft;
		this.routes = routes;
		this.budgets = new BudgetRules(draft, routes);
	}

	void handle(LogEvent event) {
		switch (event) {
			case LogEvent.BatchRead read -> read(read);
			case LogEvent.CaughtUp caughtUp -> logReachable(caughtUp.nextOffset());
			case LogEvent.Unreachable unreachable -> logUnreachable();
			case LogEvent.GapDetected gap -> resetAfterGap(gap);
			case LogEvent.AppendEnded ended -> appendEnded(ended);
		}
	}

	private void read(LogEvent.BatchRead event) {
		if (event.offset() < this.draft.log.nextOffset()) {
			return;
		}
		this.draft.logClock = Optional.of(LogClock.update(this.draft.logClock, event.logTime(), this.draft.now));
		int index = 0;
		for (LedgerRecord record : event.batch()) {
			Position position = new Position(event.offset(), index);
			Ledger.ApplyResult reading = this.draft.log.ledger().apply(position, event.logTime(), record);
			this.draft.log = this.draft.log.withLedger(reading.ledger());
			reading.changes().forEach((change) -> applyChange(change, event.offset()));
			index++;
		}
		this.draft.log = this.draft.log.advanceTo(event.offset() + 1, event.logTime());
	}

	private void applyChange(LedgerChange change, long offset) {
		switch (change) {
			case LedgerChange.HomeChanged changed -> this.routes.claimDecided(new Route.ForHome(changed.program()));
			case LedgerChange.ProgramEnded ended -> {
				this.routes.claimDecided(new Route.ForHome(ended.program()));
				new CallerRules(this.draft).programEnded(ended.program(), ended.state());
			}
			case LedgerChange.CallClaimed claimed -> this.routes.claimDecided(new Route.ForClaim(claimed.key()));
			case LedgerChange.CallCompleted completed -> this.routes.claimDecided(new Route.ForClaim(completed.key()));
			case LedgerChange.CallReleased released -> this.routes.reroute(new Route.ForClaim(released.key()));
			case LedgerChange.Voided voided -> recordVoided(voided.record());
			case LedgerChange.SliceGranted granted -> this.budgets.sliceGranted(granted, offset);
			case LedgerChange.SliceReturned returned -> this.budgets.sliceReturned(returned, offset);
			case LedgerChange.TurnAdded added -> {
			}
			case LedgerChange.CrashCountChanged counted -> {
			}
		}
	}

	private void recordVoided(LedgerRecord record) {
		switch (record) {
			case LedgerRecord.ProgramClaimed claimed -> this.routes.claimDecided(new Route.ForHome(claimed.program()));
			case LedgerRecord.CallClaimed claimed -> this.routes.claimDecided(new Route.ForClaim(claimed.key()));
			default -> this.budgets.recordVoided(record);
		}
	}

	private void logReachable(long next) {
		if (!this.draft.log.isReachable()) {
			this.draft.report(NoticeCode.LOG_BACK.with(FieldName.OFFSET, next));
		}
		this.draft.log = this.draft.log.caughtUp();
	}

	private void logUnreachable() {
		if (this.draft.log.isReachable()) {
			this.draft.report(NoticeCode.LOG_UNAVAILABLE.with(FieldName.STREAM, "programs"));
		}
		this.draft.log = this.draft.log.unreachable(this.draft.now);
	}

	// The lost records may include homes and claims, so the ledger restarts from the
	// first available record and slices are discarded.
	private void resetAfterGap(LogEvent.GapDetected gap) {
		this.draft.report(NoticeCode.RETENTION_GAP.with(FieldName.OFFSET, gap.expectedOffset())
			.with(FieldName.COUNT, gap.firstOffset() - gap.expectedOffset()));
		this.draft.log = LogView.empty().advanceTo(gap.firstOffset(), Instant.EPOCH);
		this.draft.accounts = this.draft.accounts.mapValues(Account::discardSlices);
	}

	private void appendEnded(LogEvent.AppendEnded event) {
		Optional<LedgerRecord> record = this.draft.pendingAppends.get(event.append()).toJavaOptional();
		this.draft.pendingAppends = this.draft.pendingAppends.remove(event.append());
		if (record.isEmpty() || event.result() == AppendResult.APPENDED) {
			return;
		}
		if (event.result() == AppendResult.UNKNOWN) {
			this.draft.report(NoticeCode.APPEND_UNKNOWN.with(FieldName.STREAM, "programs"));
		}
		retryTimer(record.get()).ifPresent((timer) -> this.draft.startTimer(APPEND_RETRY_DELAY, timer));
	}

	private static Optional<Timer> retryTimer(LedgerRecord record) {
		return switch (record) {
			case LedgerRecord.ProgramClaimed claimed ->
				Optional.of(new Timer.ClaimRetry(new Route.ForHome(claimed.program()), record));
			case LedgerRecord.CallClaimed claimed ->
				Optional.of(new Timer.ClaimRetry(new Route.ForClaim(claimed.key()), record));
			case LedgerRecord.SliceReserved reserved -> Optional.of(new Timer.SliceRetry(record));
			case LedgerRecord.SliceReturned returned -> Optional.of(new Timer.SliceRetry(record));
			default -> Optional.empty();
		};
	}

}
