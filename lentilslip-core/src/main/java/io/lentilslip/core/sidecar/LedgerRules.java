package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerChange;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.LogView;
import io.lentilslip.core.verdict.Verdict;

/**
 * The rules for what the log says. Confined to one application of the reducer.
 */
final class LedgerRules {

	private static final Duration PAUSE_BEFORE_APPEND_AGAIN = Duration.ofMillis(250);

	/**
	 * How long after its answer was lost an append may take effect.
	 */
	private static final Duration LATEST_APPEND = Duration.ofMinutes(5);

	private final Draft draft;

	LedgerRules(Draft draft) {
		this.draft = draft;
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
		int index = 0;
		for (LedgerRecord record : event.batch()) {
			Position position = new Position(event.offset(), index);
			Ledger.ApplyResult reading = this.draft.log.ledger().apply(position, event.logTime(), record);
			this.draft.log = this.draft.log.withLedger(reading.ledger());
			reading.changes().forEach((change) -> follow(change, position));
			index++;
		}
		this.draft.log = this.draft.log.advanceTo(event.offset() + 1, event.logTime());
		new EntryRules(this.draft).unpark();
		new QueueRules(this.draft).pump();
	}

	private void follow(LedgerChange change, Position position) {
		HomeRules homes = new HomeRules(this.draft);
		switch (change) {
			case LedgerChange.HomeChanged changed -> homes.moved(changed.program(), changed.state());
			case LedgerChange.TurnAdded added -> homes.committed(added.program(), added.state(), position);
			case LedgerChange.ProgramEnded closed -> homes.ended(closed.program(), closed.state(), closed.reason());
			case LedgerChange.CallClaimed taken -> {
			}
			case LedgerChange.CallCompleted done -> new ClaimRules(this.draft).settled(done.key());
			case LedgerChange.CallReleased released -> new ClaimRules(this.draft).settled(released.key());
			case LedgerChange.CrashCountChanged counted -> new RunRules(this.draft).blamed(counted.content());
			case LedgerChange.SliceGranted granted -> {
			}
			case LedgerChange.SliceReturned givenBack -> {
			}
			case LedgerChange.Voided voided -> {
			}
		}
	}

	private void back(long next) {
		if (this.draft.log.unreachableSince().isPresent()) {
			this.draft.report(NoticeCode.LOG_BACK.with(FieldName.OFFSET, next));
		}
		this.draft.log = this.draft.log.caughtUp();
	}

	private void unreachable() {
		if (this.draft.log.unreachableSince().isEmpty()) {
			this.draft.report(NoticeCode.LOG_UNAVAILABLE.with(FieldName.STREAM, "programs"));
		}
		this.draft.log = this.draft.log.unreachable(this.draft.now);
	}

	// Records were lost before they were read: this process may have missed that its
	// homes
	// moved. It acts as if it had just started, and reads what the log still has.
	private void startAnew(LogEvent.GapDetected gap) {
		this.draft.report(NoticeCode.RETENTION_GAP.with(FieldName.OFFSET, gap.expectedOffset())
			.with(FieldName.COUNT, gap.firstOffset() - gap.expectedOffset()));
		if (this.draft.log.nextOffset() > 0) {
			for (ProgramId program : this.draft.homes.keySet()) {
				new HomeRules(this.draft).close(program, FailureCause.MOVED, "The program may have moved.");
			}
		}
		this.draft.log = LogView.empty().advanceTo(gap.firstOffset(), Instant.EPOCH);
	}

	private void appended(LogEvent.AppendEnded event) {
		Optional<LedgerRecord> record = this.draft.appends.get(event.append()).toJavaOptional();
		this.draft.appends = this.draft.appends.remove(event.append());
		if (record.isEmpty() || event.result() == AppendResult.APPENDED) {
			return;
		}
		if (event.result() == AppendResult.UNKNOWN) {
			this.draft.report(NoticeCode.APPEND_UNKNOWN.with(FieldName.STREAM, "programs"));
			noteRelease(record.get());
		}
		this.draft.remind(PAUSE_BEFORE_APPEND_AGAIN, new Duty.AppendAgain(record.get()));
	}

	private void noteRelease(LedgerRecord record) {
		if (record instanceof LedgerRecord.CallSettled settled && settled.outcome().verdict() == Verdict.NOT_RUN) {
			this.draft.unsureReleases = this.draft.unsureReleases.add(settled.key());
			this.draft.remind(LATEST_APPEND, new Duty.ForgetRelease(settled.key()));
		}
	}

	/**
	 * Appends a record again if it is still wanted. A copy that took effect unseen makes
	 * this one void.
	 * @param record the record
	 */
	void appendAgain(LedgerRecord record) {
		if (isWanted(record)) {
			this.draft.append(record);
		}
	}

	private boolean isWanted(LedgerRecord record) {
		return switch (record) {
			case LedgerRecord.TurnCommitted committed -> this.draft.home(committed.program())
				.filter((home) -> home.epoch().equals(committed.epoch()))
				.flatMap(Home::firstPending)
				.filter((turn) -> turn.number() == committed.turn().number())
				.isPresent();
			case LedgerRecord.CallSettled settled -> this.draft.jobs.containsKey(new JobKey.ForClaim(settled.key()));
			case LedgerRecord.ProgramEnded ended -> this.draft.home(ended.program()).isPresent();
			case LedgerRecord.UpstreamCrashed blamed -> true;
			case LedgerRecord.CrashesCleared cleared -> this.draft.log.ledger().crashCount(cleared.content()) > 0;
			case LedgerRecord.ProgramClaimed claimed -> false;
			case LedgerRecord.CallClaimed claimed -> false;
			case LedgerRecord.SliceReserved reserved -> false;
			case LedgerRecord.SliceReturned returned -> false;
		};
	}

}
