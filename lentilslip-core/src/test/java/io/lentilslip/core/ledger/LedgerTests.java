package io.lentilslip.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.LedgerChange.VoidReason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerTests {

	private static final Duration RETENTION = Duration.ofHours(1);

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final ProgramId PROGRAM = program("sellers", "draft");

	private static final ProcessId FIRST = process("vm-1", 1);

	private static final ProcessId SECOND = process("vm-2", 2);

	private static final CallKey KEY = new CallKey.ForIdempotencyKey(new GroupName("sellers"),
			new IdempotencyKey("k-1"));

	private static final Digest CONTENT = Digest.of("content");

	private Ledger ledger = Ledger.withRetention(RETENTION);

	private long offset;

	private Instant time = START;

	// Two entries claim a home for a new program concurrently. Only the first claim in
	// the log takes effect; the other one and duplicates do not.
	@Test
	void acceptsOnlyTheFirstClaimOfAnEpoch() {
		assertThat(apply(claim(PROGRAM, 1, FIRST))).hasOnlyElementsOfType(LedgerChange.HomeChanged.class);
		assertThat(apply(claim(PROGRAM, 1, SECOND)))
			.isEqualTo(voided(claim(PROGRAM, 1, SECOND), VoidReason.EPOCH_TAKEN));
		assertThat(apply(claim(PROGRAM, 1, FIRST))).isEqualTo(voided(claim(PROGRAM, 1, FIRST), VoidReason.EPOCH_TAKEN));
		assertThat(apply(claim(PROGRAM, 3, SECOND)))
			.isEqualTo(voided(claim(PROGRAM, 3, SECOND), VoidReason.EPOCH_TAKEN));
		assertThat(state(PROGRAM).home()).isEqualTo(FIRST);
	}

	// A paused home appends a turn after another sidecar has claimed the program. The
	// turn has no effect, nor has a duplicate of any turn.
	@Test
	void addsTurnsOnceInOrderAndOnlyFromTheHome() {
		assertThat(apply(turn(PROGRAM, 1, 1))).isEqualTo(voided(turn(PROGRAM, 1, 1), VoidReason.UNKNOWN));
		apply(claim(PROGRAM, 1, FIRST));
		assertThat(apply(turn(PROGRAM, 1, 2))).isEqualTo(voided(turn(PROGRAM, 1, 2), VoidReason.TURN_NOT_NEXT));
		assertThat(apply(turn(PROGRAM, 1, 1))).hasOnlyElementsOfType(LedgerChange.TurnAdded.class);
		assertThat(apply(turn(PROGRAM, 1, 1))).isEqualTo(voided(turn(PROGRAM, 1, 1), VoidReason.TURN_NOT_NEXT));
		apply(claim(PROGRAM, 2, SECOND));
		assertThat(apply(turn(PROGRAM, 1, 2))).isEqualTo(voided(turn(PROGRAM, 1, 2), VoidReason.EPOCH_SUPERSEDED));
		assertThat(apply(turn(PROGRAM, 2, 2))).hasOnlyElementsOfType(LedgerChange.TurnAdded.class);
		assertThat(state(PROGRAM).lastCall()).isEqualTo(2);
		assertThat(state(PROGRAM).lastTurnPosition()).contains(new Position(this.offset - 1, 0));
	}

	// A program ends while nested sub-agents run. All of them end, and a sub-agent
	// claimed afterwards does not start.
	@Test
	void endsNestedSubAgentsWithTheirParent() {
		int depth = 20_000;
		apply(claim(PROGRAM, 1, FIRST));
		ProgramId parent = PROGRAM;
		for (int level = 1; level <= depth; level++) {
			ProgramId child = program("sellers", "agent-" + level);
			apply(new LedgerRecord.ProgramClaimed(child, new Epoch(1), FIRST, Optional.of(parent)));
			parent = child;
		}
		List<LedgerChange> changes = apply(new LedgerRecord.ProgramEnded(PROGRAM, EndReason.BY_CALLER));
		assertThat(changes).hasSize(depth + 1);
		assertThat(state(parent).endReason()).contains(EndReason.WITH_PARENT);
		assertThat(state(PROGRAM).endReason()).contains(EndReason.BY_CALLER);
		LedgerRecord late = new LedgerRecord.ProgramClaimed(program("sellers", "late"), new Epoch(1), FIRST,
				Optional.of(parent));
		assertThat(apply(late)).isEqualTo(voided(late, VoidReason.PROGRAM_ENDED));
		assertThat(apply(turn(PROGRAM, 1, 1))).isEqualTo(voided(turn(PROGRAM, 1, 1), VoidReason.PROGRAM_ENDED));
		assertThat(apply(claim(PROGRAM, 2, SECOND)))
			.isEqualTo(voided(claim(PROGRAM, 2, SECOND), VoidReason.PROGRAM_ENDED));
	}

	@Test
	void distinguishesProgramsByCaseAndGroup() {
		apply(claim(PROGRAM, 1, FIRST));
		apply(claim(program("sellers", "Draft"), 1, SECOND));
		apply(claim(program("buyers", "draft"), 1, SECOND));
		apply(turn(PROGRAM, 1, 1));
		assertThat(this.ledger.programCount()).isEqualTo(3);
		assertThat(state(program("sellers", "Draft")).lastCall()).isZero();
		assertThat(state(program("buyers", "draft")).lastCall()).isZero();
	}

	// A released claim may be taken by another process. After an outcome no claim is
	// accepted, and only the executor can append one.
	@Test
	void assignsACallToOneExecutorAtATime() {
		apply(claimCall(FIRST));
		assertThat(apply(claimCall(SECOND))).isEqualTo(voided(claimCall(SECOND), VoidReason.CALL_TAKEN));
		LedgerRecord foreign = settle(SECOND, refusal());
		assertThat(apply(foreign)).isEqualTo(voided(foreign, VoidReason.NOT_EXECUTOR));
		assertThat(apply(settle(FIRST, refusal()))).hasOnlyElementsOfType(LedgerChange.CallReleased.class);
		assertThat(this.ledger.claim(KEY)).isEmpty();
		assertThat(apply(claimCall(SECOND))).hasOnlyElementsOfType(LedgerChange.CallClaimed.class);
		assertThat(apply(settle(SECOND, answer()))).hasOnlyElementsOfType(LedgerChange.CallCompleted.class);
		LedgerRecord again = settle(SECOND, refusal());
		assertThat(apply(again)).isEqualTo(voided(again, VoidReason.NOT_EXECUTOR));
		assertThat(apply(claimCall(FIRST))).isEqualTo(voided(claimCall(FIRST), VoidReason.CALL_TAKEN));
		assertThat(this.ledger.claim(KEY).orElseThrow().outcome()).contains(answer());
	}

	// Crashes alongside other requests count once, crashes in isolation count each, and a
	// run in isolation without a crash clears the count.
	@Test
	void countsSharedCrashesOnceAndIsolatedCrashesEach() {
		apply(crash(false));
		apply(crash(false));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(1);
		apply(crash(true));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(2);
		apply(new LedgerRecord.CrashesCleared(CONTENT, FIRST));
		assertThat(this.ledger.crashCount(CONTENT)).isZero();
		assertThat(this.ledger.crashRecordCount()).isZero();
	}

	// The crash record expires by its last crash, not its first. Otherwise the request
	// would run alongside others again too early.
	@Test
	void expiresACrashRecordByItsLastCrash() {
		apply(crash(false));
		advanceTime(RETENTION.minusMinutes(10));
		apply(crash(false));
		advanceTime(Duration.ofMinutes(20));
		apply(claim(PROGRAM, 1, FIRST));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(1);
		advanceTime(RETENTION);
		apply(claim(program("sellers", "later"), 1, FIRST));
		assertThat(this.ledger.crashRecordCount()).isZero();
	}

	@Test
	void expiresByTheTimeOfTheLog() {
		apply(claim(PROGRAM, 1, FIRST));
		apply(claimCall(FIRST));
		advanceTime(RETENTION.minusMinutes(10));
		apply(settle(FIRST, answer()));
		advanceTime(Duration.ofMinutes(20));
		apply(claim(program("sellers", "next"), 1, FIRST));
		assertThat(this.ledger.program(PROGRAM)).isEmpty();
		assertThat(this.ledger.claim(KEY)).isPresent();
		advanceTime(RETENTION.plusMinutes(1));
		apply(claim(program("sellers", "last"), 1, FIRST));
		assertThat(this.ledger.claimCount()).isZero();
		assertThat(this.ledger.programCount()).isEqualTo(1);
	}

	// The expiry of a released claim must not remove a later claim of the same call.
	@Test
	void keepsAClaimMadeAfterARelease() {
		apply(claimCall(FIRST));
		apply(settle(FIRST, refusal()));
		advanceTime(RETENTION.minusMinutes(10));
		apply(claimCall(FIRST));
		advanceTime(Duration.ofMinutes(20));
		apply(claim(PROGRAM, 1, FIRST));
		assertThat(this.ledger.claim(KEY)).isPresent();
	}

	// A process that starts with only the records of the last two retention times must
	// derive the same state as one that has read all records; otherwise they would
	// disagree on homes.
	@Test
	void derivesTheSameStateFromALaterFirstRecord() {
		List<TimestampedRecord> records = new ArrayList<>();
		Ledger complete = Ledger.withRetention(RETENTION);
		for (int minute = 0; minute < 240; minute++) {
			Instant at = START.plus(Duration.ofMinutes(minute));
			ProgramId program = program("sellers", "p-" + minute / 30);
			LedgerRecord record = switch (minute % 5) {
				case 0, 1 -> claim(program, 1, (minute % 2 == 0) ? FIRST : SECOND);
				case 2 -> turn(program, 1, 1 + (minute % 30) / 5);
				case 3 -> new LedgerRecord.CallClaimed(key(minute / 40), CONTENT, FIRST);
				default -> new LedgerRecord.ProgramEnded(program("sellers", "p-" + minute / 45), EndReason.BY_CALLER);
			};
			TimestampedRecord timestamped = new TimestampedRecord(new Position(minute, 0), at, record);
			records.add(timestamped);
			complete = timestamped.applyTo(complete);
		}
		Instant retainedFrom = START.plus(Duration.ofMinutes(240)).minus(RETENTION.multipliedBy(2));
		Ledger partial = Ledger.withRetention(RETENTION);
		for (TimestampedRecord timestamped : records.stream()
			.filter((each) -> !each.time().isBefore(retainedFrom))
			.toList()) {
			partial = timestamped.applyTo(partial);
		}
		for (int index = 0; index < 8; index++) {
			ProgramId program = program("sellers", "p-" + index);
			assertThat(partial.program(program)).isEqualTo(complete.program(program));
			assertThat(partial.claim(key(index))).isEqualTo(complete.claim(key(index)));
		}
		assertThat(partial.programCount()).isEqualTo(complete.programCount()).isPositive();
		assertThat(partial.claimCount()).isEqualTo(complete.claimCount()).isPositive();
	}

	private List<LedgerChange> apply(LedgerRecord record) {
		Ledger.ApplyResult result = this.ledger.apply(new Position(this.offset++, 0), this.time, record);
		this.ledger = result.ledger();
		return result.changes();
	}

	private void advanceTime(Duration duration) {
		this.time = this.time.plus(duration);
	}

	private ProgramState state(ProgramId program) {
		return this.ledger.program(program).orElseThrow();
	}

	private static ProgramId program(String group, String name) {
		return new ProgramId(new GroupName(group), new ProgramName(name));
	}

	private static ProcessId process(String vm, long incarnation) {
		return new ProcessId(new VmName(vm), new Incarnation(incarnation));
	}

	private static CallKey key(int number) {
		return new CallKey.ForIdempotencyKey(new GroupName("sellers"), new IdempotencyKey("key-" + number));
	}

	private static LedgerRecord claim(ProgramId program, int epoch, ProcessId home) {
		return new LedgerRecord.ProgramClaimed(program, new Epoch(epoch), home, Optional.empty());
	}

	private static LedgerRecord turn(ProgramId program, int epoch, int number) {
		Turn turn = new Turn(number, CONTENT, Optional.empty(), List.of("{}"),
				new CallResponse.FromModel("{}", "stop", Usage.NONE));
		return new LedgerRecord.TurnCommitted(program, new Epoch(epoch), turn, Optional.empty());
	}

	private static LedgerRecord claimCall(ProcessId executor) {
		return new LedgerRecord.CallClaimed(KEY, CONTENT, executor);
	}

	private static LedgerRecord settle(ProcessId executor, CallOutcome outcome) {
		return new LedgerRecord.CallSettled(KEY, executor, outcome);
	}

	private static LedgerRecord crash(boolean isolated) {
		return new LedgerRecord.UpstreamCrashed(CONTENT, FIRST, isolated);
	}

	private static CallOutcome refusal() {
		return new CallOutcome.Failed(CallFailure.notRun(FailureCause.QUEUE_FULL, "full"));
	}

	private static CallOutcome answer() {
		return new CallOutcome.Completed(new CallResponse.FromService(200, List.of(), Body.of("done")),
				Durability.COMMITTED, 0);
	}

	private static List<LedgerChange> voided(LedgerRecord record, VoidReason reason) {
		return List.of(new LedgerChange.Voided(record, reason));
	}

	/**
	 * A record with its position and time in the log.
	 *
	 * @param position the position
	 * @param time the time
	 * @param record the record
	 */
	private record TimestampedRecord(Position position, Instant time, LedgerRecord record) {

		Ledger applyTo(Ledger ledger) {
			return ledger.apply(this.position, this.time, this.record).ledger();
		}

	}

}
