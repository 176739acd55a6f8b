package io.lentilslip.core.ledger;

import java.time.Duration;
import java.time.Instant;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.LedgerChange.VoidReason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetStateTests {

	private static final GroupName GROUP = new GroupName("sellers");

	private static final Duration HOUR = Duration.ofHours(1);

	private static final Instant START = Instant.parse("2026-07-14T10:10:00Z");

	private Ledger ledger = Ledger.withRetention(Ledger.RETENTION);

	private long offset;

	@Test
	void grantsUpToTheLimit() {
		assertThat(apply(START, reserved(1, 60, 100, 1))).isInstanceOf(LedgerChange.SliceGranted.class);
		assertVoid(apply(START, reserved(2, 41, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
		assertThat(apply(START, reserved(2, 40, 100, 2))).isInstanceOf(LedgerChange.SliceGranted.class);
		assertThat(remaining()).isZero();
	}

	// A record is appended twice because the first acknowledgment was lost. Counted
	// twice, a reservation would waste budget, and a return would let the group exceed
	// it.
	@Test
	void countsADuplicateRecordOnce() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, reserved(1, 60, 100, 1)), VoidReason.SLICE_REPEATED);
		LedgerRecord.SliceReturned sliceReturn = returned(1, 30, 2);
		assertThat(apply(START, sliceReturn)).isInstanceOf(LedgerChange.SliceReturned.class);
		assertVoid(apply(START, sliceReturn), VoidReason.SLICE_REPEATED);
		assertThat(remaining()).isEqualTo(70);
	}

	// A duplicate of a refused reservation arrives after tokens were returned. No call
	// waits for it any more, so it must not reserve them.
	@Test
	void ignoresADuplicateOfARefusedReservation() {
		apply(START, reserved(1, 90, 100, 1));
		assertVoid(apply(START, reserved(2, 20, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
		apply(START, returned(1, 90, 2));
		assertVoid(apply(START, reserved(2, 20, 100, 1)), VoidReason.SLICE_REPEATED);
	}

	@Test
	void acceptsOnlyReturnsOfReservedTokens() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, returned(2, 10, 1)), VoidReason.SLICE_UNKNOWN);
		assertVoid(apply(START, returned(1, 61, 2)), VoidReason.SLICE_UNKNOWN);
	}

	// A return arrives after its period has ended. In the new period it would free tokens
	// that were not reserved there.
	@Test
	void ignoresAReturnInAnotherPeriod() {
		apply(START, reserved(1, 60, 100, 1));
		LedgerRecord late = returned(1, 60, 2);
		Instant next = START.plus(HOUR);
		apply(next, reserved(2, 100, 100, 1));
		assertVoid(apply(next, late), VoidReason.SLICE_UNKNOWN);
		assertThat(remaining()).isZero();
	}

	// An entry that has not loaded a lowered limit yet must not reserve by the previous
	// one.
	@Test
	void appliesTheNewestLimitToOlderConfigurations() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, new LedgerRecord.SliceReserved(GROUP, 1, 50, HOUR, 2, entry(2), 1)),
				VoidReason.BUDGET_EXHAUSTED);
		assertVoid(apply(START, reserved(3, 1, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
		assertThat(remaining()).isZero();
		assertThat(apply(START.plus(HOUR), reserved(3, 50, 100, 2))).isInstanceOf(LedgerChange.SliceGranted.class);
		assertVoid(apply(START.plus(HOUR), reserved(1, 1, 100, 3)), VoidReason.BUDGET_EXHAUSTED);
	}

	// The clock of the log is set back into the previous period. The budget of that
	// period must not become available again.
	@Test
	void keepsThePeriodWhenTheClockIsSetBack() {
		apply(START, reserved(1, 100, 100, 1));
		apply(START.plus(HOUR), reserved(1, 100, 100, 2));
		assertVoid(apply(START, reserved(2, 1, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
	}

	// Frequent restarts of entries within one period must not exhaust the memory, nor
	// release the tokens they reserved.
	@Test
	void tracksABoundedNumberOfEntries() {
		int incarnations = BudgetState.MAX_ENTRIES + 10;
		for (int incarnation = 1; incarnation <= incarnations; incarnation++) {
			apply(START, reserved(incarnation, 1, 10_000, 1));
		}
		assertThat(this.ledger.budget(GROUP).orElseThrow().entries()).hasSize(BudgetState.MAX_ENTRIES);
		assertThat(remaining()).isEqualTo(10_000 - incarnations);
	}

	@Test
	void expiresAnUnusedBudget() {
		apply(START, reserved(1, 1, 100, 1));
		apply(START.plus(Ledger.RETENTION).plusSeconds(1),
				new LedgerRecord.SliceReserved(new GroupName("buyers"), 1, 1, HOUR, 1, entry(1), 1));
		assertThat(this.ledger.budget(GROUP)).isEmpty();
	}

	private long remaining() {
		return this.ledger.budget(GROUP).orElseThrow().remaining();
	}

	private LedgerChange apply(Instant time, LedgerRecord record) {
		Ledger.ApplyResult result = this.ledger.apply(new Position(this.offset++, 0), time, record);
		this.ledger = result.ledger();
		return result.changes().getFirst();
	}

	private static void assertVoid(LedgerChange change, VoidReason reason) {
		assertThat(change).isInstanceOfSatisfying(LedgerChange.Voided.class,
				(voided) -> assertThat(voided.reason()).isEqualTo(reason));
	}

	private static ProcessId entry(int incarnation) {
		return new ProcessId(new VmName("entry"), new Incarnation(incarnation));
	}

	private static LedgerRecord.SliceReserved reserved(int incarnation, long tokens, long limit, long sequence) {
		return new LedgerRecord.SliceReserved(GROUP, tokens, limit, HOUR, 1, entry(incarnation), sequence);
	}

	private static LedgerRecord.SliceReturned returned(int incarnation, long tokens, long sequence) {
		return new LedgerRecord.SliceReturned(GROUP, BudgetState.indexAt(START, HOUR), tokens, entry(incarnation),
				sequence);
	}

}
