package io.lentilslip.core.admission;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRateTests {

	private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

	@Test
	void refusesOnlyWhatCannotBeServedInTime() {
		ServiceRate rate = backlogged(ServiceRate.UNKNOWN, 100);
		assertThat(rate.canMeet(START, START.plusSeconds(10), 99)).isTrue();
		assertThat(rate.canMeet(START, START.plusSeconds(10), 101)).isFalse();
		assertThat(rate.canMeet(START, START, 0)).isFalse();
	}

	@Test
	void refusesNothingOnAGuess() {
		ServiceRate rate = backlogged(ServiceRate.UNKNOWN, 16);
		assertThat(rate.canMeet(START, START.plusMillis(1), 1000)).isTrue();
		assertThat(backlogged(rate, 2).canMeet(START, START.plusMillis(1), 1000)).isFalse();
	}

	// A queue stands empty for an hour between two calls. Taken for the time of a
	// service,
	// the hour would have every later call with a shorter deadline refused.
	@Test
	void idleTimeIsNoTimeOfService() {
		ServiceRate rate = backlogged(ServiceRate.UNKNOWN, 100).served(START.plusSeconds(10), 0)
			.served(START.plus(Duration.ofHours(1)), 0);
		assertThat(rate.canMeet(START, START.plusSeconds(10), 99)).isTrue();
	}

	private static ServiceRate backlogged(ServiceRate start, int services) {
		ServiceRate rate = start;
		for (int service = 0; service < services; service++) {
			rate = rate.served(START.plusMillis(100L * service), 1);
		}
		return rate;
	}

}
