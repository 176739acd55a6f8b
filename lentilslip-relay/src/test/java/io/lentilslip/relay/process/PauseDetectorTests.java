package io.lentilslip.relay.process;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PauseDetectorTests {

	private final PauseDetector watch = new PauseDetector(Duration.ofMillis(250));

	@Test
	void firstLookFindsNoSleep() {
		assertThat(this.watch.check(900_000, 1_700_000_000_000L)).isEmpty();
	}

	@Test
	void regularAndSlightlyLateLooksFindNoSleep() {
		this.watch.check(1000, 5000);
		assertThat(this.watch.check(1250, 5250)).isEmpty();
		assertThat(this.watch.check(1800, 5800)).isEmpty();
	}

	@Test
	void frozenProcessIsFoundByTheSteadyClock() {
		this.watch.check(1000, 5000);
		assertThat(this.watch.check(5000, 9000)).contains(Duration.ofSeconds(4));
		assertThat(this.watch.check(5010, 9010)).isEmpty();
	}

	// A suspended VM's steady clock stands still: only the clock of the day tells.
	@Test
	void suspendedProcessIsFoundByTheClockOfTheDay() {
		this.watch.check(1000, 5000);
		assertThat(this.watch.check(1100, 8100)).contains(Duration.ofMillis(3100));
	}

}
