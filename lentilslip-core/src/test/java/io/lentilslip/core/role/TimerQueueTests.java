package io.lentilslip.core.role;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TimerQueueTests {

	private static final Instant EARLY = Instant.EPOCH.plusSeconds(1);

	private static final Instant LATE = Instant.EPOCH.plusSeconds(2);

	@Test
	void returnsDueItemsInTheOrderOfTheirTimes() {
		TimerQueue<String> timers = TimerQueue.<String>empty().with(LATE, "c").with(EARLY, "a").with(EARLY, "b");
		TimerQueue.DueItems<String> due = timers.pollDue(EARLY);
		assertThat(due.items()).containsExactly("a", "b");
		assertThat(due.remaining().size()).isEqualTo(1);
		assertThat(due.remaining().pollDue(LATE).items()).containsExactly("c");
	}

	@Test
	void doesNotReturnRemovedItems() {
		TimerQueue<String> timers = TimerQueue.<String>empty().with(EARLY, "a").with(EARLY, "b").without(EARLY, "a");
		assertThat(timers.size()).isEqualTo(1);
		assertThat(timers.pollDue(LATE).items()).containsExactly("b");
	}

	@Test
	void doesNotRemoveAnItemWithAnotherDueTime() {
		TimerQueue<String> timers = TimerQueue.<String>empty().with(EARLY, "a").without(LATE, "a");
		assertThat(timers.pollDue(EARLY).items()).containsExactly("a");
	}

}
