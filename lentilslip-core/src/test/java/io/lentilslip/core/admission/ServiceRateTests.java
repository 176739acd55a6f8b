package io.lentilslip.core.admission;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRateTests {

	private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

	@Test
	void refusesOnlyCallsThatCannotMeetTheirDeadline() {
		ServiceRate rate = serveWithBacklog(ServiceRate.UNKNOWN, 100);
		assertThat(rate.canMeet(START, START.plusSeconds(10), 99)).isTrue();
		assertThat(rate.canMeet(START, START.plusSeconds(10), 101)).isFalse();
		assertThat(rate.canMeet(START, START, 0)).isFalse();
	}

	@Test
	void refusesNothingBeforeEnoughMeasurements() {
		ServiceRate rate = serveWithBacklog(ServiceRate.UNKNOWN, 16);
		assertThat(rate.canMeet(START, START.plusMillis(1), 1000)).isTrue();
		assertThat(serveWithBacklog(rate, 2).canMeet(START, START.plusMillis(1), 1000)).isFalse();
	}

	// The queue is empty for an hour. Counted as service time, the hour would cause later
	// calls to be refused.
	@Test
	void ignoresIdleTime() {
		ServiceRate rate = serveWithBacklog(ServiceRate.UNKNOWN, 100).served(START.plusSeconds(10), 0)
			.served(START.plus(Duration.ofHours(1)), 0);
		assertThat(rate.canMeet(START, START.plusSeconds(10), 99)).isTrue();
	}

	private static ServiceRate serveWithBacklog(ServiceRate start, int services) {
		ServiceRate rate = start;
		for (int service = 0; service < services; service++) {
			rate = rate.served(START.plusMillis(100L * service), 1);
		}
		return rate;
	}

}
