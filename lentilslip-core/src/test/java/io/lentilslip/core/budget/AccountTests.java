package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AccountTests {

	private static final Duration HOUR = Duration.ofHours(1);

	private static final Instant NOW = Instant.parse("2026-07-14T10:00:00Z");

	private static final long LIMIT = 64_000;

	private final Account<String> empty = Account.create(HOUR, 7);

	@Test
	void chargesTheTokensUsed() {
		Account<String> running = withSlice(100).hold("a", 60, NOW);
		assertThat(running.available()).isEqualTo(40);
		assertThat(running.settle("a", 10).available()).isEqualTo(90);
		assertThat(running.settle("a", 10).settle("a", 10).available()).isEqualTo(90);
	}

	// An overdraft must be paid before another call runs; otherwise calls that exceed
	// their estimates would use tokens beyond all reservations.
	@Test
	void paysAnOverdraftBeforeAnyOtherCallRuns() {
		Account<String> overdrawn = withSlice(100).hold("a", 60, NOW).settle("a", 120).waiting("b", 10);
		assertThat(overdrawn.available()).isZero();
		assertThat(overdrawn.overdraft()).isEqualTo(20);
		assertThat(overdrawn.canHold(1)).isFalse();
		assertThat(overdrawn.tokensToReserve(LIMIT, 64, NOW)).contains(30L);
		Account<String> paid = overdrawn.addSlice(HOUR, 7, 30, NOW);
		assertThat(paid.overdraft()).isZero();
		assertThat(paid.nextReady()).contains(new Account.WaitingCall<>("b", 10));
	}

	@Test
	void paysPartOfAnOverdraftGreaterThanTheRemainingBudget() {
		Account<String> overdrawn = withSlice(10).hold("a", 10, NOW).settle("a", 100).waiting("b", 10);
		assertThat(overdrawn.tokensToReserve(50, 50, NOW)).contains(50L);
		assertThat(overdrawn.addSlice(HOUR, 7, 50, NOW).overdraft()).isEqualTo(40);
	}

	// Unused tokens of a call that ends in a later period must not be added to that
	// period, whose budget they would exceed.
	@Test
	void dropsUnusedTokensOfAnEarlierPeriod() {
		Account<String> next = withSlice(100).hold("a", 60, NOW).advanceTo(HOUR, 8);
		assertThat(next.available()).isZero();
		assertThat(next.settle("a", 10).available()).isZero();
		assertThat(next.settle("a", 70).overdraft()).isEqualTo(10);
		assertThat(next.addSlice(HOUR, 7, 50, NOW).available()).isZero();
		assertThat(next.advanceTo(HOUR, 7)).isSameAs(next);
	}

	@Test
	void reservesOnlyTheNeedOfACallNearTheEndOfTheBudget() {
		Account<String> waiting = this.empty.waiting("a", 90).waiting("b", 90);
		assertThat(waiting.tokensToReserve(100, LIMIT, NOW)).contains(90L);
		assertThat(waiting.tokensToReserve(90, LIMIT, NOW)).contains(90L);
	}

	// An entry whose view of the budget is outdated must still attempt a reservation,
	// but only at intervals.
	@Test
	void retriesReservationsAtIntervalsWhileTheBudgetAppearsExhausted() {
		Account<String> waiting = this.empty.waiting("a", 90).recordSent(1, NOW).decided(1, NOW);
		assertThat(waiting.tokensToReserve(89, LIMIT, NOW)).isEmpty();
		assertThat(waiting.tokensToReserve(0, LIMIT, NOW.plus(Account.RETRY_INTERVAL))).contains(90L);
		assertThat(waiting.tokensToReserve(0, 89, NOW.plus(Account.RETRY_INTERVAL))).isEmpty();
	}

	@Test
	void reservesAheadWithinAFractionOfTheBudget() {
		Account<String> quick = withSlice(800).hold("a", 800, NOW).waiting("b", 1);
		assertThat(quick.tokensToReserve(LIMIT, LIMIT, NOW)).contains(LIMIT / SliceSize.LIMIT_DIVISOR);
		assertThat(quick.tokensToReserve(1600, LIMIT, NOW)).contains(1600L / SliceSize.REMAINING_DIVISOR);
		assertThat(quick.tokensToReserve(LIMIT, LIMIT, NOW.plus(SliceSize.MIN_SLICE_DURATION))).contains(800L);
	}

	@Test
	void returnsIdleTokens() {
		Account<String> idle = withSlice(100);
		Instant later = NOW.plus(Account.IDLE_TIMEOUT);
		assertThat(idle.releaseIfIdle(later.minusMillis(1))).isSameAs(idle);
		assertThat(idle.releaseIfIdle(later).tokensToReturn()).isEqualTo(100);
		assertThat(idle.releaseIfIdle(later).available()).isZero();
		assertThat(idle.waiting("a", 200).releaseIfIdle(later).tokensToReturn()).isZero();
	}

	@Test
	void limitsTheNumberOfWaitingCalls() {
		Account<String> full = this.empty;
		for (int number = 0; number < Account.MAX_WAITING_CALLS; number++) {
			assertThat(full.isFull()).isFalse();
			full = full.waiting("call-" + number, 1);
		}
		assertThat(full.isFull()).isTrue();
		assertThat(full.removeWaiting("call-3").isFull()).isFalse();
	}

	private Account<String> withSlice(long tokens) {
		return this.empty.addSlice(HOUR, 7, tokens, NOW);
	}

}
