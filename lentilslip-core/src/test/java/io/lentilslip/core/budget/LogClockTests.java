package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogClockTests {

	private static final Instant LOG = Instant.parse("2026-07-14T10:00:00Z");

	private static final Instant START = Instant.EPOCH;

	@Test
	void usesTheRecordWithTheLowestLatency() {
		Optional<LogClock> old = Optional.of(LogClock.update(Optional.empty(), LOG.minusSeconds(3600), START));
		Optional<LogClock> fresh = Optional.of(LogClock.update(old, LOG, START));
		assertThat(fresh.get().logTime(START.plusSeconds(5))).isEqualTo(LOG.plusSeconds(5));
		assertThat(LogClock.update(fresh, LOG.minusSeconds(9), START).logTime(START)).isEqualTo(LOG);
	}

	// The local clock runs fast by one second per hour. If the offset did not decay,
	// the process would enter the next period before the log does and drop its
	// slices.
	@Test
	void followsASlowerLogClock() {
		Optional<LogClock> clock = Optional.empty();
		for (int hour = 0; hour < 100; hour++) {
			Instant now = START.plus(Duration.ofHours(hour)).plusSeconds(hour);
			clock = Optional.of(LogClock.update(clock, LOG.plus(Duration.ofHours(hour)), now));
			assertThat(clock.get().logTime(now)).isEqualTo(LOG.plus(Duration.ofHours(hour)));
		}
	}

}
