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
 * The rules for what the log says. Confined to one application of the reducer.
 */
final class LedgerRules {

	private static final Duration PAUSE_BEFORE_APPEND_AGAIN = Duration.ofMillis(100);

	private final Draft draft;

	private final RouteRules routes;

	private final BudgetRules budgets;

	LedgerRules(Draft draft, RouteRules routes) {
		this.draft = draft;
		this.routes = routes;
		this.budgets = new BudgetRules(draft, routes);
	}

	void learned(LogEvent event) {
		switch (event) {
			case LogEvent.BatchRead read -> read(read);
			case LogEvent.CaughtUp caughtUp -> back(caughtUp.nextOffset());
			case LogEvent.Unreachable unreachable -> unreachable();
			case LogEvent.GapDetected gap -> startAnew(gap);
			case LogEvent.AppendEnded ended -> appended(ended);
		}
	}

	private void read(LogEvent.BatchRead event) {
		if (event.offset() < this.draft.log.nextOffset()) {
			return;
		}
		this.draft.clock = Optional.of(LogClock.update(this.draft.clock, event.logTime(), this.draft.now));
		int index = 0;
		for (LedgerRecord record : event.batch()) {
			Position position = new Position(event.offset(), index);
			Ledger.ApplyResult reading = this.draft.log.ledger().apply(position, event.logTime(), record);
			this.draft.log = this.draft.log.withLedger(reading.ledger());
			reading.changes().forEach((change) -> follow(change, event.offset()));
			index++;
		}
		this.draft.log = this.draft.log.advanceTo(event.offset() + 1, event.logTime());
	}

	private void follow(LedgerChange change, long offset) {
		switch (change) {
			case LedgerChange.HomeChanged changed -> this.routes.claimDecided(new Route.ForHome(changed.program()));
			case LedgerChange.ProgramEnded closed -> {
				this.routes.claimDecided(new Route.ForHome(closed.program()));
				new CallerRules(this.draft).ended(closed.program(), closed.state());
			}
			case LedgerChange.CallClaimed taken -> this.routes.claimDecided(new Route.ForClaim(taken.key()));
			case LedgerChange.CallCompleted done -> this.routes.claimDecided(new Route.ForClaim(done.key()));
			case LedgerChange.CallReleased released -> this.routes.lookAgain(new Route.ForClaim(released.key()));
			case LedgerChange.Voided voided -> voided(voided.record());
			case LedgerChange.SliceGranted granted -> this.budgets.granted(granted, offset);
			case LedgerChange.SliceReturned givenBack -> this.budgets.givenBack(givenBack, offset);
			case LedgerChange.TurnAdded added -> {
			}
			case LedgerChange.CrashCountChanged counted -> {
			}
		}
	}

	private void voided(LedgerRecord record) {
		switch (record) {
			case LedgerRecord.ProgramClaimed claimed -> this.routes.claimDecided(new Route.ForHome(claimed.program()));
			case LedgerRecord.CallClaimed claimed -> this.routes.claimDecided(new Route.ForClaim(claimed.key()));
			default -> this.budgets.voided(record);
		}
	}

	private void back(long next) {
		if (!this.draft.log.isReachable()) {
			this.draft.report(NoticeCode.LOG_BACK.with(FieldName.OFFSET, next));
		}
		this.draft.log = this.draft.log.caughtUp();
	}

	private void unreachable() {
		if (this.draft.log.isReachable()) {
			this.draft.report(NoticeCode.LOG_UNAVAILABLE.with(FieldName.STREAM, "programs"));
		}
		this.draft.log = this.draft.log.unreachable(this.draft.now);
	}

	// What was lost may have changed homes and claims: only what the log still has
	// counts.
	private void startAnew(LogEvent.GapDetected gap) {
		this.draft.report(NoticeCode.RETENTION_GAP.with(FieldName.OFFSET, gap.expectedOffset())
			.with(FieldName.COUNT, gap.firstOffset() - gap.expectedOffset()));
		this.draft.log = LogView.empty().advanceTo(gap.firstOffset(), Instant.EPOCH);
		this.draft.accounts = this.draft.accounts.mapValues(Account::discardSlices);
	}

	private void appended(LogEvent.AppendEnded event) {
		Optional<LedgerRecord> record = this.draft.appends.get(event.append()).toJavaOptional();
		this.draft.appends = this.draft.appends.remove(event.append());
		if (record.isEmpty() || event.result() == AppendResult.APPENDED) {
			return;
		}
		if (event.result() == AppendResult.UNKNOWN) {
			this.draft.report(NoticeCode.APPEND_UNKNOWN.with(FieldName.STREAM, "programs"));
		}
		appendAgain(record.get()).ifPresent((duty) -> this.draft.remind(PAUSE_BEFORE_APPEND_AGAIN, duty));
	}

	private static Optional<Duty> appendAgain(LedgerRecord record) {
		return switch (record) {
			case LedgerRecord.ProgramClaimed claimed ->
				Optional.of(new Duty.ClaimAgain(new Route.ForHome(claimed.program()), record));
			case LedgerRecord.CallClaimed claimed ->
				Optional.of(new Duty.ClaimAgain(new Route.ForClaim(claimed.key()), record));
			case LedgerRecord.SliceReserved reserved -> Optional.of(new Duty.SliceAgain(record));
			case LedgerRecord.SliceReturned returned -> Optional.of(new Duty.SliceAgain(record));
			default -> Optional.empty();
		};
	}

}
