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

	private static final Duration MEMORY = Duration.ofHours(1);

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final ProgramId PROGRAM = program("sellers", "draft");

	private static final ProcessId FIRST = process("vm-1", 1);

	private static final ProcessId SECOND = process("vm-2", 2);

	private static final CallKey KEY = new CallKey.ForIdempotencyKey(new GroupName("sellers"),
			new IdempotencyKey("k-1"));

	private static final Digest CONTENT = Digest.of("content");

	private Ledger ledger = Ledger.withRetention(MEMORY);

	private long offset;

	private Instant time = START;

	// Two entries meet a new program at once and each claims a home for it. The first
	// claim in the log holds in every process; the other and its repetition are void.
	@Test
	void givesAnEpochToItsFirstClaim() {
		assertThat(apply(claim(PROGRAM, 1, FIRST))).hasOnlyElementsOfType(LedgerChange.HomeChanged.class);
		assertThat(apply(claim(PROGRAM, 1, SECOND)))
			.isEqualTo(voided(claim(PROGRAM, 1, SECOND), VoidReason.EPOCH_TAKEN));
		assertThat(apply(claim(PROGRAM, 1, FIRST))).isEqualTo(voided(claim(PROGRAM, 1, FIRST), VoidReason.EPOCH_TAKEN));
		assertThat(apply(claim(PROGRAM, 3, SECOND)))
			.isEqualTo(voided(claim(PROGRAM, 3, SECOND), VoidReason.EPOCH_TAKEN));
		assertThat(state(PROGRAM).home()).isEqualTo(FIRST);
	}

	// A home was paused, another one took the program over, and the first one goes on and
	// appends its turn: the turn is void, and so is a second copy of any turn.
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

	// A program starts sub-agents that start others, and ends: nothing of the family goes
	// on, and a sub-agent that begins later does not begin at all.
	@Test
	void endsSubAgentsWithTheirParentHoweverDeep() {
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
	void keepsProgramsApartThatDifferByCaseOrGroup() {
		apply(claim(PROGRAM, 1, FIRST));
		apply(claim(program("sellers", "Draft"), 1, SECOND));
		apply(claim(program("buyers", "draft"), 1, SECOND));
		apply(turn(PROGRAM, 1, 1));
		assertThat(this.ledger.programCount()).isEqualTo(3);
		assertThat(state(program("sellers", "Draft")).lastCall()).isZero();
		assertThat(state(program("buyers", "draft")).lastCall()).isZero();
	}

	// The claimed process cannot take the call and says so: another one may claim it.
	// Once
	// an outcome stands nobody may, and only the executor can write one.
	@Test
	void givesACallToOneExecutorAtATime() {
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

	// Several requests ran when an engine crashed: each counts one crash however often
	// that happens. Alone each crash counts, and the end without one clears the request.
	@Test
	void blamesARequestOnceInCompanyAndEachTimeAlone() {
		apply(blame(false));
		apply(blame(false));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(1);
		apply(blame(true));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(2);
		apply(new LedgerRecord.CrashesCleared(CONTENT, FIRST));
		assertThat(this.ledger.crashCount(CONTENT)).isZero();
		assertThat(this.ledger.crashRecordCount()).isZero();
	}

	// A request took part in a crash, was cleared, and took part in another one later. It
	// stays blamed for the later one when the first one is forgotten: else it would run
	// in
	// company again and could take others down with it.
	@Test
	void remembersABlameFromItsLastCrashOn() {
		apply(blame(false));
		passTime(MEMORY.minusMinutes(10));
		apply(blame(false));
		passTime(Duration.ofMinutes(20));
		apply(claim(PROGRAM, 1, FIRST));
		assertThat(this.ledger.crashCount(CONTENT)).isEqualTo(1);
		passTime(MEMORY);
		apply(claim(program("sellers", "later"), 1, FIRST));
		assertThat(this.ledger.crashRecordCount()).isZero();
	}

	@Test
	void forgetsWhatIsOldByTheTimeOfTheLog() {
		apply(claim(PROGRAM, 1, FIRST));
		apply(claimCall(FIRST));
		passTime(MEMORY.minusMinutes(10));
		apply(settle(FIRST, answer()));
		passTime(Duration.ofMinutes(20));
		apply(claim(program("sellers", "next"), 1, FIRST));
		assertThat(this.ledger.program(PROGRAM)).isEmpty();
		assertThat(this.ledger.claim(KEY)).isPresent();
		passTime(MEMORY.plusMinutes(1));
		apply(claim(program("sellers", "last"), 1, FIRST));
		assertThat(this.ledger.claimCount()).isZero();
		assertThat(this.ledger.programCount()).isEqualTo(1);
	}

	// A claim was released and made anew just before the first one grew old: what was
	// noted for the first one must not drop the second.
	@Test
	void keepsAClaimThatWasMadeAnew() {
		apply(claimCall(FIRST));
		apply(settle(FIRST, refusal()));
		passTime(MEMORY.minusMinutes(10));
		apply(claimCall(FIRST));
		passTime(Duration.ofMinutes(20));
		apply(claim(PROGRAM, 1, FIRST));
		assertThat(this.ledger.claim(KEY)).isPresent();
	}

	// A process starts when the log holds only the records of the last two memory times.
	// It must come to the same view as one that has read everything, or the two would
	// disagree on the home of a program.
	@Test
	void isTheSameInAProcessThatStartsAtALaterFirstRecord() {
		List<Stamped> records = new ArrayList<>();
		Ledger whole = Ledger.withRetention(MEMORY);
		for (int minute = 0; minute < 240; minute++) {
			Instant at = START.plus(Duration.ofMinutes(minute));
			ProgramId program = program("sellers", "p-" + minute / 30);
			LedgerRecord record = switch (minute % 5) {
				case 0, 1 -> claim(program, 1, (minute % 2 == 0) ? FIRST : SECOND);
				case 2 -> turn(program, 1, 1 + (minute % 30) / 5);
				case 3 -> new LedgerRecord.CallClaimed(key(minute / 40), CONTENT, FIRST);
				default -> new LedgerRecord.ProgramEnded(program("sellers", "p-" + minute / 45), EndReason.BY_CALLER);
			};
			Stamped stamped = new Stamped(new Position(minute, 0), at, record);
			records.add(stamped);
			whole = stamped.addTo(whole);
		}
		Instant kept = START.plus(Duration.ofMinutes(240)).minus(MEMORY.multipliedBy(2));
		Ledger late = Ledger.withRetention(MEMORY);
		for (Stamped stamped : records.stream().filter((each) -> !each.time().isBefore(kept)).toList()) {
			late = stamped.addTo(late);
		}
		for (int index = 0; index < 8; index++) {
			ProgramId program = program("sellers", "p-" + index);
			assertThat(late.program(program)).isEqualTo(whole.program(program));
			assertThat(late.claim(key(index))).isEqualTo(whole.claim(key(index)));
		}
		assertThat(late.programCount()).isEqualTo(whole.programCount()).isPositive();
		assertThat(late.claimCount()).isEqualTo(whole.claimCount()).isPositive();
	}

	private List<LedgerChange> apply(LedgerRecord record) {
		Ledger.ApplyResult reading = this.ledger.apply(new Position(this.offset++, 0), this.time, record);
		this.ledger = reading.ledger();
		return reading.changes();
	}

	private void passTime(Duration duration) {
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

	private static LedgerRecord blame(boolean alone) {
		return new LedgerRecord.UpstreamCrashed(CONTENT, FIRST, alone);
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
	 * A record with its place and time in the log.
	 *
	 * @param position the place
	 * @param time the time
	 * @param record the record
	 */
	private record Stamped(Position position, Instant time, LedgerRecord record) {

		Ledger addTo(Ledger ledger) {
			return ledger.apply(this.position, this.time, this.record).ledger();
		}

	}

}
