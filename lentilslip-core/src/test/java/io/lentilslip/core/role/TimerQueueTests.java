package io.lentilslip.core.role;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TimerQueueTests {

	private static final Instant EARLY = Instant.EPOCH.plusSeconds(1);

	private static final Instant LATE = Instant.EPOCH.plusSeconds(2);

	@Test
	void givesWhatIsDueInTheOrderOfTimes() {
		TimerQueue<String> agenda = TimerQueue.<String>empty().with(LATE, "c").with(EARLY, "a").with(EARLY, "b");
		TimerQueue.DueItems<String> due = agenda.pollDue(EARLY);
		assertThat(due.items()).containsExactly("a", "b");
		assertThat(due.remaining().size()).isEqualTo(1);
		assertThat(due.remaining().pollDue(LATE).items()).containsExactly("c");
	}

	@Test
	void givesNothingThatWasTakenOut() {
		TimerQueue<String> agenda = TimerQueue.<String>empty().with(EARLY, "a").with(EARLY, "b").without(EARLY, "a");
		assertThat(agenda.size()).isEqualTo(1);
		assertThat(agenda.pollDue(LATE).items()).containsExactly("b");
	}

	@Test
	void takesNothingOutThatStandsAtAnotherTime() {
		TimerQueue<String> agenda = TimerQueue.<String>empty().with(EARLY, "a").without(LATE, "a");
		assertThat(agenda.pollDue(EARLY).items()).containsExactly("a");
	}

}
