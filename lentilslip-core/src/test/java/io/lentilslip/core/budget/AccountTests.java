package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AccountTests {

	private static final Duration HOUR = Duration.ofHours(1);

	private static final Instant NOW = Instant.parse("2026-07-14T10:00:00Z");

	private static final long LIMIT = 64_000;

	private final Account<String> empty = Account.in(HOUR, 7);

	@Test
	void chargesWhatACallTook() {
		Account<String> running = granted(100).running("a", 60, NOW);
		assertThat(running.available()).isEqualTo(40);
		assertThat(running.settled("a", 10).available()).isEqualTo(90);
		assertThat(running.settled("a", 10).settled("a", 10).available()).isEqualTo(90);
	}

	// A call takes more than was held for it. The rest of the slice pays, then the next
	// slice, before any other call runs: else each call of unusual text would take tokens
	// that no reservation covers.
	@Test
	void paysAnOverdraftBeforeAnyOtherCallRuns() {
		Account<String> over = granted(100).running("a", 60, NOW).settled("a", 120).waiting("b", 10);
		assertThat(over.available()).isZero();
		assertThat(over.overdraft()).isEqualTo(20);
		assertThat(over.mayRun(1)).isFalse();
		assertThat(over.wanted(LIMIT, 64, NOW)).contains(30L);
		Account<String> paid = over.granted(HOUR, 7, 30, NOW);
		assertThat(paid.overdraft()).isZero();
		assertThat(paid.ready()).contains(new Account.Wish<>("b", 10));
	}

	@Test
	void paysPartOfAnOverdraftThatIsGreaterThanWhatIsLeft() {
		Account<String> over = granted(10).running("a", 10, NOW).settled("a", 100).waiting("b", 10);
		assertThat(over.wanted(50, 50, NOW)).contains(50L);
		assertThat(over.granted(HOUR, 7, 50, NOW).overdraft()).isEqualTo(40);
	}

	// The period turns over while a call runs. What it did not take belongs to the old
	// period: put into the new one, it would be spent beyond the new budget.
	@Test
	void dropsWhatIsLeftOfAnEarlierPeriod() {
		Account<String> next = granted(100).running("a", 60, NOW).at(HOUR, 8);
		assertThat(next.available()).isZero();
		assertThat(next.settled("a", 10).available()).isZero();
		assertThat(next.settled("a", 70).overdraft()).isEqualTo(10);
		assertThat(next.granted(HOUR, 7, 50, NOW).available()).isZero();
		assertThat(next.at(HOUR, 7)).isSameAs(next);
	}

	@Test
	void asksForExactlyWhatACallNeedsNearTheEnd() {
		Account<String> waiting = this.empty.waiting("a", 90).waiting("b", 90);
		assertThat(waiting.wanted(100, LIMIT, NOW)).contains(90L);
		assertThat(waiting.wanted(90, LIMIT, NOW)).contains(90L);
	}

	// An entry believes that nothing is left, from records of a period that is over. It
	// asks the log all the same, but not again and again.
	@Test
	void asksTheLogNowAndThenWhenNothingSeemsLeft() {
		Account<String> waiting = this.empty.waiting("a", 90).asked(1, NOW).decided(1, NOW);
		assertThat(waiting.wanted(89, LIMIT, NOW)).isEmpty();
		assertThat(waiting.wanted(0, LIMIT, NOW.plus(Account.ASKING_TIME))).contains(90L);
		assertThat(waiting.wanted(0, 89, NOW.plus(Account.ASKING_TIME))).isEmpty();
	}

	@Test
	void asksAheadWithinItsPartOfTheBudget() {
		Account<String> quick = granted(800).running("a", 800, NOW).waiting("b", 1);
		assertThat(quick.wanted(LIMIT, LIMIT, NOW)).contains(LIMIT / SliceSize.PART_OF_LIMIT);
		assertThat(quick.wanted(1600, LIMIT, NOW)).contains(1600L / SliceSize.PART_OF_LEFT);
		assertThat(quick.wanted(LIMIT, LIMIT, NOW.plus(SliceSize.QUICK))).contains(800L);
	}

	@Test
	void setsIdleTokensAside() {
		Account<String> idle = granted(100);
		Instant later = NOW.plus(Account.IDLE_TIME);
		assertThat(idle.afterIdling(later.minusMillis(1))).isSameAs(idle);
		assertThat(idle.afterIdling(later).surplus()).isEqualTo(100);
		assertThat(idle.afterIdling(later).available()).isZero();
		assertThat(idle.waiting("a", 200).afterIdling(later).surplus()).isZero();
	}

	@Test
	void boundsTheCallsThatWait() {
		Account<String> full = this.empty;
		for (int number = 0; number < Account.MOST_WAITING; number++) {
			assertThat(full.isFull()).isFalse();
			full = full.waiting("call-" + number, 1);
		}
		assertThat(full.isFull()).isTrue();
		assertThat(full.withdrawn("call-3").isFull()).isFalse();
	}

	private Account<String> granted(long tokens) {
		return this.empty.granted(HOUR, 7, tokens, NOW);
	}

}
