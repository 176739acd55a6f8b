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
 * Handles events of the log: applies its records to the ledger and completes appends.
 * Confined to one application of the reducer.
 */
final class LedgerRules {

	private static final Duration APPEND_RETRY_DELAY = Duration.ofMillis(250);

	/**
	 * How long an append whose result is unknown may still take effect.
	 */
	private static final Duration UNCERTAIN_APPEND_TIMEOUT = Duration.ofMinutes(5);

	private final StateBuilder builder;

	LedgerRules(StateBuilder builder) {
		this.builder = builder;
	}

	void handle(LogEvent event) {
		switch (event) {
			case LogEvent.BatchRead read -> applyBatch(read);
			case LogEvent.CaughtUp caughtUp -> logReachable(caughtUp.nextOffset());
			case LogEvent.Unreachable unreachable -> logUnreachable();
			case LogEvent.GapDetected gap -> resetAfterGap(gap);
			case LogEvent.AppendEnded ended -> appendCompleted(ended);
		}
	}

	private void applyBatch(LogEvent.BatchRead event) {
		if (event.offset() < this.builder.log.nextOffset()) {
			return;
		}
		int index = 0;
		for (LedgerRecord record : event.batch()) {
			Position position = new Position(event.offset(), index);
			Ledger.ApplyResult result = this.builder.log.ledger().apply(position, event.logTime(), record);
			this.builder.log = this.builder.log.withLedger(result.ledger());
			result.changes().forEach((change) -> handleChange(change, position));
			index++;
		}
		this.builder.log = this.builder.log.advanceTo(event.offset() + 1, event.logTime());
		new EntryRules(this.builder).retryAwaitingLog();
		new QueueRules(this.builder).startJobs();
	}

	private void handleChange(LedgerChange change, Position position) {
		HomeRules homes = new HomeRules(this.builder);
		switch (change) {
			case LedgerChange.HomeChanged changed -> homes.homeChanged(changed.program(), changed.state());
			case LedgerChange.TurnAdded added -> homes.turnCommitted(added.program(), added.state(), position);
			case LedgerChange.ProgramEnded closed ->
				homes.programEnded(closed.program(), closed.state(), closed.reason());
			case LedgerChange.CallClaimed taken -> {
			}
			case LedgerChange.CallCompleted done -> new ClaimRules(this.builder).outcomeCommitted(done.key());
			case LedgerChange.CallReleased released -> new ClaimRules(this.builder).outcomeCommitted(released.key());
			case LedgerChange.CrashCountChanged counted -> new RunRules(this.builder).crashRecorded(counted.content());
			case LedgerChange.SliceGranted granted -> {
			}
			case LedgerChange.SliceReturned givenBack -> {
			}
			case LedgerChange.Voided voided -> {
			}
		}
	}

	private void logReachable(long next) {
		if (this.builder.log.unreachableSince().isPresent()) {
			this.builder.report(NoticeCode.LOG_BACK.with(FieldName.OFFSET, next));
		}
		this.builder.log = this.builder.log.caughtUp();
	}

	private void logUnreachable() {
		if (this.builder.log.unreachableSince().isEmpty()) {
			this.builder.report(NoticeCode.LOG_UNAVAILABLE.with(FieldName.STREAM, "programs"));
		}
		this.builder.log = this.builder.log.unreachable(this.builder.now);
	}

	// Records were deleted before they were read, and a home may have moved unnoticed.
	// The sidecar starts over like a new process and reads the remaining records.
	private void resetAfterGap(LogEvent.GapDetected gap) {
		this.builder.report(NoticeCode.RETENTION_GAP.with(FieldName.OFFSET, gap.expectedOffset())
			.with(FieldName.COUNT, gap.firstOffset() - gap.expectedOffset()));
		if (this.builder.log.nextOffset() > 0) {
			for (ProgramId program : this.builder.homes.keySet()) {
				new HomeRules(this.builder).close(program, FailureCause.MOVED,
						"The program may have moved to another home.");
			}
		}
		this.builder.log = LogView.empty().advanceTo(gap.firstOffset(), Instant.EPOCH);
	}

	private void appendCompleted(LogEvent.AppendEnded event) {
		Optional<LedgerRecord> record = this.builder.appends.get(event.append()).toJavaOptional();
		this.builder.appends = this.builder.appends.remove(event.append());
		if (record.isEmpty() || event.result() == AppendResult.APPENDED) {
			return;
		}
		if (event.result() == AppendResult.UNKNOWN) {
			this.builder.report(NoticeCode.APPEND_UNKNOWN.with(FieldName.STREAM, "programs"));
			recordUncertainRelease(record.get());
		}
		this.builder.schedule(APPEND_RETRY_DELAY, new SidecarTimer.AppendRetry(record.get()));
	}

	private void recordUncertainRelease(LedgerRecord record) {
		if (record instanceof LedgerRecord.CallSettled settled && settled.outcome().verdict() == Verdict.NOT_RUN) {
			this.builder.uncertainReleases = this.builder.uncertainReleases.add(settled.key());
			this.builder.schedule(UNCERTAIN_APPEND_TIMEOUT, new SidecarTimer.UncertainReleaseExpiry(settled.key()));
		}
	}

	/**
	 * Appends a record again if it is still needed. If the first append did take effect,
	 * the ledger ignores the second one.
	 * @param record the record
	 */
	void retryAppend(LedgerRecord record) {
		if (isStillNeeded(record)) {
			this.builder.append(record);
		}
	}

	private boolean isStillNeeded(LedgerRecord record) {
		return switch (record) {
			case LedgerRecord.TurnCommitted committed -> this.builder.home(committed.program())
				.filter((home) -> home.epoch().equals(committed.epoch()))
				.flatMap(Home::firstPending)
				.filter((turn) -> turn.number() == committed.turn().number())
				.isPresent();
			case LedgerRecord.CallSettled settled -> this.builder.jobs.containsKey(new JobKey.ForClaim(settled.key()));
			case LedgerRecord.ProgramEnded ended -> this.builder.home(ended.program()).isPresent();
			case LedgerRecord.UpstreamCrashed crashed -> true;
			case LedgerRecord.CrashesCleared cleared -> this.builder.log.ledger().crashCount(cleared.content()) > 0;
			case LedgerRecord.ProgramClaimed claimed -> false;
			case LedgerRecord.CallClaimed claimed -> false;
			case LedgerRecord.SliceReserved reserved -> false;
			case LedgerRecord.SliceReturned returned -> false;
		};
	}

}
