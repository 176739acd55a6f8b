package io.lentilslip.relay.process;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PauseDetectorTests {

	private final PauseDetector detector = new PauseDetector(Duration.ofMillis(250));

	@Test
	void firstCheckDetectsNoPause() {
		assertThat(this.detector.check(900_000, 1_700_000_000_000L)).isEmpty();
	}

	@Test
	void timelyChecksDetectNoPause() {
		this.detector.check(1000, 5000);
		assertThat(this.detector.check(1250, 5250)).isEmpty();
		assertThat(this.detector.check(1800, 5800)).isEmpty();
	}

	@Test
	void pauseIsDetectedByTheMonotonicClock() {
		this.detector.check(1000, 5000);
		assertThat(this.detector.check(5000, 9000)).contains(Duration.ofSeconds(4));
		assertThat(this.detector.check(5010, 9010)).isEmpty();
	}

	// The monotonic clock does not advance while the VM is suspended, so only the wall
	// clock shows the pause.
	@Test
	void suspensionIsDetectedByTheWallClock() {
		this.detector.check(1000, 5000);
		assertThat(this.detector.check(1100, 8100)).contains(Duration.ofMillis(3100));
	}

}
