package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerChange;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.verdict.Verdict;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetRulesTests {

	private static final long LIMIT = 1000;

	private static final int SLICE_WAIT_SECONDS = (int) BudgetRules.SLICE_TIMEOUT.toSeconds() + 1;

	@Test
	void admitsCallsWithoutABudget() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		site.entry(0).call("buyers", Optional.empty(), 5000);
		assertThat(site.entry(0).running).hasSize(1);
		assertThat(site.entry(0).appends).isEmpty();
		assertThat(site.entry(0).account()).isEmpty();
	}

	// Calls at ten entries request ten times the budget. Exactly as many run as the
	// budget covers, whatever the order of the appends, and the others are refused until
	// the next period.
	@Test
	void admitsOnlyAsManyCallsAsTheBudgetCovers() {
		BudgetSite site = new BudgetSite(10, LIMIT);
		for (BudgetSite.Entry entry : site.entries) {
			for (int call = 0; call < 10; call++) {
				entry.call(100);
			}
		}
		site.settle();
		assertThat(site.entries.stream().mapToInt((entry) -> entry.running.size()).sum()).isEqualTo(10);
		site.advanceTime(SLICE_WAIT_SECONDS);
		List<CallFailure> refused = failures(site);
		assertThat(refused).hasSize(90);
		assertThat(refused).allSatisfy((failure) -> {
			assertThat(failure.cause()).isEqualTo(FailureCause.BUDGET_EXHAUSTED);
			assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(failure.retryAfter().orElseThrow()).isBetween(Duration.ofMinutes(49), Duration.ofMinutes(50));
		});
		assertThat(site.entry(0).status().groups()).filteredOn((group) -> group.group().equals(BudgetSite.SELLERS))
			.containsExactly(new EntryStatus.Group(BudgetSite.SELLERS, 2, LIMIT, Optional.of(LIMIT)));
	}

	// A call uses half of its reservation. The unused half is returned for a waiting call
	// of another entry.
	@Test
	void returnsUnusedTokens() {
		BudgetSite site = new BudgetSite(2, LIMIT);
		long large = site.entry(0).call(LIMIT);
		site.settle();
		long other = site.entry(1).call(400);
		site.settle();
		assertThat(site.entry(1).running).isEmpty();
		site.entry(0).answer(large, 500);
		site.advanceTime(SLICE_WAIT_SECONDS);
		assertThat(site.entry(1).running).containsKey(other);
	}

	// An entry crashes while it holds a slice. The slice counts as used until the next
	// period because its use is unknown.
	@Test
	void countsTheSliceOfACrashedEntryUntilTheNextPeriod() {
		BudgetSite site = new BudgetSite(2, LIMIT);
		site.entry(0).call(900);
		site.settle();
		site.restart(0, LIMIT, 1);
		long call = site.entry(1).call(200);
		site.advanceTime(SLICE_WAIT_SECONDS);
		assertThat(failure(site.entry(1), call).cause()).isEqualTo(FailureCause.BUDGET_EXHAUSTED);
		site.now = site.now.plus(BudgetSite.PERIOD);
		long next = site.entry(1).call(LIMIT);
		site.settle();
		assertThat(site.entry(1).running).containsKey(next);
	}

	// While the log is unreachable, an entry may spend only the slice it holds, and must
	// not carry it into a new period.
	@Test
	void discardsTheSliceInANewPeriodWhileTheLogIsUnreachable() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		BudgetSite.Entry entry = site.entry(0);
		long first = entry.call(500);
		site.settle();
		entry.answer(first, 100);
		entry.loseLog();
		entry.call(100);
		assertThat(entry.running).hasSize(1);
		long excess = entry.call(350);
		assertThat(failure(entry, excess).cause()).isEqualTo(FailureCause.LOG_UNAVAILABLE);
		assertThat(failure(entry, excess).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failure(entry, excess).retryAfter()).isPresent();
		site.now = site.now.plus(BudgetSite.PERIOD);
		long late = entry.call(100);
		assertThat(failure(entry, late).cause()).isEqualTo(FailureCause.LOG_UNAVAILABLE);
		assertThat(entry.running).hasSize(1);
	}

	// The budget is lowered below the reserved tokens. Unused tokens are returned, and
	// calls are admitted only up to the new limit.
	@Test
	void appliesALoweredBudget() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		BudgetSite.Entry entry = site.entry(0);
		long first = entry.call(900);
		site.settle();
		entry.answer(first, 300);
		entry.configure(2, 400);
		long fits = entry.call(100);
		long tooMuch = entry.call(100);
		site.settle();
		assertThat(entry.running).containsOnlyKeys(fits);
		site.advanceTime(SLICE_WAIT_SECONDS);
		assertThat(failure(entry, tooMuch).cause()).isEqualTo(FailureCause.BUDGET_EXHAUSTED);
	}

	@Test
	void admitsWaitingCallsWhenTheBudgetIsRemoved() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		site.entry(0).call(100);
		assertThat(site.entry(0).running).isEmpty();
		site.entry(0).configureWithoutBudget(2);
		assertThat(site.entry(0).running).hasSize(1);
		assertThat(site.entry(0).account()).isEmpty();
	}

	// A program that a rule assigns to another group must be charged to that group. The
	// caller's own group has no budget, so its calls would be free.
	@Test
	void chargesAProgramToTheGroupOfItsRule() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		site.entry(0).call("buyers", Optional.of(new ProgramName("offer-1")), 300);
		site.settle();
		assertThat(site.entry(0).running).hasSize(1);
		assertThat(site.log).extracting(BudgetSite.LoggedRecord::record)
			.filteredOn(LedgerRecord.SliceReserved.class::isInstance)
			.singleElement()
			.isInstanceOfSatisfying(LedgerRecord.SliceReserved.class, (record) -> {
				assertThat(record.group()).isEqualTo(BudgetSite.SELLERS);
				assertThat(record.tokens()).isEqualTo(300);
			});
	}

	// The result of an append is unknown. The entry appends the reservation again, and
	// the ledger counts it once.
	@Test
	void retriesAReservationWithUnknownResult() {
		for (BudgetSite.AppendFault fault : BudgetSite.AppendFault.values()) {
			BudgetSite site = new BudgetSite(1, LIMIT);
			BudgetSite.Entry entry = site.entry(0);
			entry.call(600);
			entry.appendNext(fault);
			site.advanceTime(2);
			assertThat(entry.running).hasSize(1);
			assertThat(entry.account().orElseThrow().available()).isZero();
		}
	}

	// The log ends in an earlier period whose budget is exhausted. The entry must still
	// append a reservation to start the new period.
	@Test
	void reservesInANewPeriodWithoutNewRecords() {
		BudgetSite site = new BudgetSite(2, LIMIT);
		site.entry(1).call(LIMIT);
		site.entry(1).appendNext(BudgetSite.AppendFault.APPENDED);
		site.now = site.now.plus(BudgetSite.PERIOD);
		site.restart(0, LIMIT, 1);
		readAll(site.entry(0));
		site.entry(0).call(500);
		site.settle();
		assertThat(site.entry(0).running).hasSize(1);
	}

	// The log's clock lags behind the entry's across a period boundary. An immediate
	// retry of the rejected reservation would waste an append for each response.
	@Test
	void doesNotRetryAtOnceWhileTheLogIsInAnEarlierPeriod() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		BudgetSite.Entry entry = site.entry(0);
		entry.call(10 + 1);
		site.settle();
		site.now = site.now.plus(BudgetSite.PERIOD);
		long late = entry.call(100);
		LedgerRecord early = entry.appends.remove().record();
		site.log.add(new BudgetSite.LoggedRecord(site.now.minus(BudgetSite.PERIOD), early));
		entry.readNext();
		assertThat(entry.running).doesNotContainKey(late);
		assertThat(entry.appends).isEmpty();
		site.advanceTime(1);
		assertThat(entry.running).containsKey(late);
	}

	// Appends receive no response, and the log is not reported unreachable. The refusal
	// must name the log instead of the budget.
	@Test
	void distinguishesAnUnresponsiveLogFromAnExhaustedBudget() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		BudgetSite.Entry entry = site.entry(0);
		long call = entry.call(600);
		site.now = site.now.plusSeconds(SLICE_WAIT_SECONDS);
		entry.tick();
		assertThat(failure(entry, call).cause()).isEqualTo(FailureCause.LOG_UNAVAILABLE);
		assertThat(entry.account().orElseThrow().waiting()).isEmpty();
	}

	@Test
	void refusesACallLargerThanTheBudget() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		long call = site.entry(0).call(LIMIT + 1);
		assertThat(failure(site.entry(0), call).cause()).isEqualTo(FailureCause.BUDGET_EXHAUSTED);
		assertThat(site.entry(0).appends).isEmpty();
	}

	// A caller disconnects or an attempt has an unknown outcome. The whole estimate is
	// charged, because the usage is unknown.
	@Test
	void chargesTheEstimateWhenTheOutcomeIsUnknown() {
		BudgetSite site = new BudgetSite(1, LIMIT);
		BudgetSite.Entry entry = site.entry(0);
		long disconnected = entry.call(300);
		long lost = entry.call(300);
		long notRun = entry.call(300);
		site.settle();
		entry.disconnectCaller(disconnected);
		entry.finish(lost, failed(CallFailure.mayHaveRun(FailureCause.CANCELLED, "Lost.")), 300);
		assertThat(entry.account().orElseThrow().available()).isZero();
		entry.finish(notRun, failed(CallFailure.notRun(FailureCause.DEADLINE_PASSED, "Deadline passed.")), 0);
		assertThat(entry.account().orElseThrow().available()).isEqualTo(300);
	}

	// Three entries share a budget under lost and delayed appends, restarts, changed
	// limits, new periods and calls above their estimates. The ledger must never grant
	// more than the limit, and no entry may spend more than its slices plus its
	// overdraft. After the faults end, a call that fits the remaining budget must run
	// within a few records.
	@Property(tries = 2000, seed = "20260714")
	void enforcesTheBudgetInAnyOrderOfEvents(
			@ForAll @Size(min = 5, max = 120) List<@IntRange(max = 1_000_000) Integer> steps) {
		BudgetSite site = new BudgetSite(3, LIMIT);
		long version = 1;
		long limit = LIMIT;
		List<BudgetSite.Entry> incarnations = new ArrayList<>(site.entries);
		for (int step : steps) {
			int number = step % 3;
			int value = step / 30;
			BudgetSite.Entry entry = site.entry(number);
			switch (step / 3 % 10) {
				case 0, 1 -> entry.call(11 + value % 600);
				case 2, 3 -> appendNext(entry, value);
				case 4, 5 -> readAll(entry);
				case 6 -> finish(entry, value);
				case 7 -> {
					site.now = site.now.plusMillis(value % 3000);
					entry.tick();
					if (value % 2 == 0) {
						site.appendDelayedRecords();
					}
				}
				case 8 -> {
					limit = 100 + value % 1500;
					version++;
					entry.configure(version, limit);
				}
				default -> {
					if (value % 4 == 0) {
						entry.appends.forEach((append) -> site.delayedRecords.add(append.record()));
						site.restart(number, limit, version);
						incarnations.add(site.entry(number));
					}
					else if (value % 4 == 1) {
						site.now = site.now.plus(Duration.ofMinutes(value % 90));
					}
					else {
						entry.loseLog();
					}
				}
			}
			ExpectedBudget expected = ExpectedBudget.of(site.log);
			assertThat(expected.violated).isFalse();
			incarnations.forEach((each) -> assertSpendsAtMostItsSlices(expected, each));
		}
		assertAdmitsCallsThatFit(site, version + 1);
	}

	private static void appendNext(BudgetSite.Entry entry, int value) {
		if (!entry.appends.isEmpty()) {
			entry.appendNext(BudgetSite.AppendFault.values()[value % BudgetSite.AppendFault.values().length]);
		}
	}

	private static void readAll(BudgetSite.Entry entry) {
		while (entry.hasUnread()) {
			entry.readNext();
		}
	}

	private static void finish(BudgetSite.Entry entry, int value) {
		Optional<Long> ticket = entry.running.keySet().stream().findFirst();
		if (ticket.isEmpty()) {
			return;
		}
		long estimate = estimate(entry, ticket.get());
		switch (value % 4) {
			case 0 -> entry.answer(ticket.get(), estimate);
			case 1 -> entry.answer(ticket.get(), value % (estimate * 2));
			case 2 -> entry.finish(ticket.get(), failed(CallFailure.notRun(FailureCause.INVALID, "Invalid.")), 0);
			default -> entry.finish(ticket.get(), failed(CallFailure.mayHaveRun(FailureCause.CANCELLED, "Lost.")),
					value % estimate);
		}
	}

	private static long estimate(BudgetSite.Entry entry, long ticket) {
		return entry.account().orElseThrow().heldFor(new Ticket(ticket));
	}

	private static void assertSpendsAtMostItsSlices(ExpectedBudget expected, BudgetSite.Entry entry) {
		if (entry.account().isEmpty()) {
			return;
		}
		Account<Ticket> account = entry.account().get();
		long held = entry.running.keySet().stream().mapToLong((ticket) -> estimate(entry, ticket)).sum();
		long granted = expected.grantedTo.getOrDefault(entry.self, 0L);
		assertThat(entry.usedTokens + held + account.available()).isLessThanOrEqualTo(granted + account.overdraft());
		assertThat(account.available() == 0 || account.overdraft() == 0).isTrue();
	}

	private static void assertAdmitsCallsThatFit(BudgetSite site, long version) {
		site.appendDelayedRecords();
		for (BudgetSite.Entry entry : site.entries) {
			entry.configure(version, LIMIT);
			readAll(entry);
			entry.receive(new LogEvent.CaughtUp(site.log.size(), entry.clock()));
			List.copyOf(entry.running.keySet()).forEach((ticket) -> entry.answer(ticket, estimate(entry, ticket)));
		}
		site.advanceTime(2 * SLICE_WAIT_SECONDS);
		for (BudgetSite.Entry entry : site.entries) {
			List.copyOf(entry.running.keySet()).forEach((ticket) -> entry.answer(ticket, estimate(entry, ticket)));
		}
		site.advanceTime(2 * SLICE_WAIT_SECONDS);
		BudgetSite.Entry last = site.entry(2);
		assertThat(last.account().map((account) -> account.waiting().size()).orElse(0)).isZero();
		ExpectedBudget expected = ExpectedBudget.of(site.log);
		long left = LIMIT - expected.reservedAt(site.now);
		long overdraft = last.account().map(Account::overdraft).orElse(0L);
		if (left - overdraft < 11) {
			return;
		}
		int records = site.log.size();
		long call = last.call(left - overdraft);
		site.settle();
		assertThat(last.running).containsKey(call);
		assertThat(site.log).hasSizeLessThanOrEqualTo(records + 2);
	}

	private static CallOutcome failed(CallFailure failure) {
		return new CallOutcome.Failed(failure);
	}

	private static CallFailure failure(BudgetSite.Entry entry, long call) {
		assertThat(entry.outcomes).containsKey(call);
		return ((CallOutcome.Failed) entry.outcomes.get(call)).failure();
	}

	private static List<CallFailure> failures(BudgetSite site) {
		return site.entries.stream()
			.flatMap((entry) -> entry.outcomes.values().stream())
			.map((outcome) -> ((CallOutcome.Failed) outcome).failure())
			.toList();
	}

	/**
	 * Independent model of the budget that checks the ledger's decisions.
	 */
	private static final class ExpectedBudget {

		private final Map<ProcessId, Long> grantedTo = new HashMap<>();

		private final Map<ProcessId, Long> reservedByEntry = new HashMap<>();

		private final Set<LedgerRecord> granted = new HashSet<>();

		private Ledger ledger = Ledger.withRetention(Ledger.RETENTION);

		private long version;

		private long limit;

		private long index;

		private long reserved;

		private boolean violated;

		static ExpectedBudget of(List<BudgetSite.LoggedRecord> log) {
			ExpectedBudget expected = new ExpectedBudget();
			for (int offset = 0; offset < log.size(); offset++) {
				expected.read(offset, log.get(offset));
			}
			return expected;
		}

		long reservedAt(Instant time) {
			advanceTo(time);
			return this.reserved;
		}

		private void read(int offset, BudgetSite.LoggedRecord logged) {
			advanceTo(logged.time());
			Ledger.ApplyResult result = this.ledger.apply(new Position(offset, 0), logged.time(), logged.record());
			this.ledger = result.ledger();
			if (logged.record() instanceof LedgerRecord.SliceReserved record
					&& record.configurationVersion() >= this.version) {
				this.version = record.configurationVersion();
				this.limit = record.limit();
			}
			switch (result.changes().getFirst()) {
				case LedgerChange.SliceGranted change -> grant(change.record());
				case LedgerChange.SliceReturned change -> returnSlice(change.record());
				case LedgerChange.Voided change when change.reason() == LedgerChange.VoidReason.BUDGET_EXHAUSTED ->
					refuse((LedgerRecord.SliceReserved) change.record());
				default -> {
				}
			}
		}

		private void advanceTo(Instant time) {
			long next = time.getEpochSecond() / BudgetSite.PERIOD.toSeconds();
			if (next != this.index) {
				this.index = next;
				this.reserved = 0;
				this.reservedByEntry.clear();
				this.granted.clear();
			}
		}

		private void grant(LedgerRecord.SliceReserved record) {
			this.reserved += record.tokens();
			this.reservedByEntry.merge(record.entry(), record.tokens(), Long::sum);
			this.grantedTo.merge(record.entry(), record.tokens(), Long::sum);
			this.violated |= this.reserved > this.limit || !this.granted.add(record);
		}

		private void refuse(LedgerRecord.SliceReserved record) {
			this.violated |= this.reserved + record.tokens() <= this.limit;
		}

		private void returnSlice(LedgerRecord.SliceReturned record) {
			this.reserved -= record.tokens();
			this.reservedByEntry.merge(record.entry(), -record.tokens(), Long::sum);
			this.grantedTo.merge(record.entry(), -record.tokens(), Long::sum);
			this.violated |= this.reservedByEntry.get(record.entry()) < 0 || record.periodIndex() != this.index;
		}

	}

}
