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
		assertThat(left()).isZero();
	}

	// The answer of an append is lost and the entry sends the record again: both copies
	// are in the log. A slice that counted twice would be lost to the group; a return
	// that counted twice would let the group pass its budget.
	@Test
	void countsARepeatedRecordOnce() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, reserved(1, 60, 100, 1)), VoidReason.SLICE_REPEATED);
		LedgerRecord.SliceReturned back = returned(1, 30, 2);
		assertThat(apply(START, back)).isInstanceOf(LedgerChange.SliceReturned.class);
		assertVoid(apply(START, back), VoidReason.SLICE_REPEATED);
		assertThat(left()).isEqualTo(70);
	}

	// A reservation is refused, then tokens come back, then a second copy of the refused
	// record shows up. The entry has long been told no and no call waits for that slice.
	@Test
	void refusesARepeatedRecordThatWasRefused() {
		apply(START, reserved(1, 90, 100, 1));
		assertVoid(apply(START, reserved(2, 20, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
		apply(START, returned(1, 90, 2));
		assertVoid(apply(START, reserved(2, 20, 100, 1)), VoidReason.SLICE_REPEATED);
	}

	@Test
	void takesBackOnlyWhatTheEntryReserved() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, returned(2, 10, 1)), VoidReason.SLICE_UNKNOWN);
		assertVoid(apply(START, returned(1, 61, 2)), VoidReason.SLICE_UNKNOWN);
	}

	// An entry returns a slice as the period turns over. In the new period it would free
	// tokens that nobody reserved there.
	@Test
	void ignoresAReturnInAnotherPeriod() {
		apply(START, reserved(1, 60, 100, 1));
		LedgerRecord late = returned(1, 60, 2);
		Instant next = START.plus(HOUR);
		apply(next, reserved(2, 100, 100, 1));
		assertVoid(apply(next, late), VoidReason.SLICE_UNKNOWN);
		assertThat(left()).isZero();
	}

	// An operator lowers the budget below what is reserved, and an entry that does not
	// know it yet asks by the old limit. Its record is judged by the new one.
	@Test
	void judgesAnOlderConfigurationByTheNewerLimit() {
		apply(START, reserved(1, 60, 100, 1));
		assertVoid(apply(START, new LedgerRecord.SliceReserved(GROUP, 1, 50, HOUR, 2, entry(2), 1)),
				VoidReason.BUDGET_EXHAUSTED);
		assertVoid(apply(START, reserved(3, 1, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
		assertThat(left()).isZero();
		assertThat(apply(START.plus(HOUR), reserved(3, 50, 100, 2))).isInstanceOf(LedgerChange.SliceGranted.class);
		assertVoid(apply(START.plus(HOUR), reserved(1, 1, 100, 3)), VoidReason.BUDGET_EXHAUSTED);
	}

	// The clock of the log is set back over the turn of a period. The old period counts
	// no second time.
	@Test
	void doesNotGoBackToAnEarlierPeriod() {
		apply(START, reserved(1, 100, 100, 1));
		apply(START.plus(HOUR), reserved(1, 100, 100, 2));
		assertVoid(apply(START, reserved(2, 1, 100, 1)), VoidReason.BUDGET_EXHAUSTED);
	}

	// Entries start again and again within one period. The state stays bounded and what
	// they reserved stays reserved.
	@Test
	void knowsABoundedNumberOfEntries() {
		int lives = BudgetState.MAX_ENTRIES + 10;
		for (int life = 1; life <= lives; life++) {
			apply(START, reserved(life, 1, 10_000, 1));
		}
		assertThat(this.ledger.budget(GROUP).orElseThrow().entries()).hasSize(BudgetState.MAX_ENTRIES);
		assertThat(left()).isEqualTo(10_000 - lives);
	}

	@Test
	void forgetsABudgetThatNobodyUses() {
		apply(START, reserved(1, 1, 100, 1));
		apply(START.plus(Ledger.RETENTION).plusSeconds(1),
				new LedgerRecord.SliceReserved(new GroupName("buyers"), 1, 1, HOUR, 1, entry(1), 1));
		assertThat(this.ledger.budget(GROUP)).isEmpty();
	}

	private long left() {
		return this.ledger.budget(GROUP).orElseThrow().remaining();
	}

	private LedgerChange apply(Instant time, LedgerRecord record) {
		Ledger.ApplyResult reading = this.ledger.apply(new Position(this.offset++, 0), time, record);
		this.ledger = reading.ledger();
		return reading.changes().getFirst();
	}

	private static void assertVoid(LedgerChange change, VoidReason reason) {
		assertThat(change).isInstanceOfSatisfying(LedgerChange.Voided.class,
				(voided) -> assertThat(voided.reason()).isEqualTo(reason));
	}

	private static ProcessId entry(int life) {
		return new ProcessId(new VmName("entry"), new Incarnation(life));
	}

	private static LedgerRecord.SliceReserved reserved(int life, long tokens, long limit, long sequence) {
		return new LedgerRecord.SliceReserved(GROUP, tokens, limit, HOUR, 1, entry(life), sequence);
	}

	private static LedgerRecord.SliceReturned returned(int life, long tokens, long sequence) {
		return new LedgerRecord.SliceReturned(GROUP, BudgetState.indexAt(START, HOUR), tokens, entry(life), sequence);
	}

}
