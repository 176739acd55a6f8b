package io.lentilslip.core.admission;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DecayingRateTests {

	private final DecayingRate rate = new DecayingRate(Duration.ofMillis(500));

	@Test
	void steadyEventsHaveTheirRate() {
		for (long now = 0; now < 5_000; now += 10) {
			this.rate.add(now);
		}
		assertThat(this.rate.perSecond(5_000)).isCloseTo(100, within(2.0));
	}

	@Test
	void rateDecaysWithoutEvents() {
		this.rate.add(0);
		assertThat(this.rate.perSecond(0)).isEqualTo(2);
		assertThat(this.rate.perSecond(500)).isCloseTo(2 / Math.E, within(1e-9));
	}

}
