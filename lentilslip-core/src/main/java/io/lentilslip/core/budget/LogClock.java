package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Immutable estimate of the log's current time. It lags by the lowest delivery latency of
 * the recent records, and deviates by the drift between the two clocks since then.
 * Thread-safe.
 *
 * @param offset the log's time minus the local time
 * @param readAt the local time when the last record was read
 */
public record LogClock(Duration offset, Instant readAt) {

	// Only the greatest offset observed is kept, which becomes too great if the local
	// clock runs fast. The offset therefore decays, at a rate above clock drift.
	private static final int DECAY_DIVISOR = 1000;

	/**
	 * Returns the clock updated from a record.
	 * @param previous the previous clock, if a record was read before
	 * @param time the log's timestamp of the record
	 * @param now the local time
	 * @return the clock
	 */
	public static LogClock update(Optional<LogClock> previous, Instant time, Instant now) {
		Duration observed = Duration.between(now, time);
		Duration estimated = previous.map((clock) -> clock.offsetAt(now)).orElse(observed);
		return new LogClock((estimated.compareTo(observed) > 0) ? estimated : observed, now);
	}

	private Duration offsetAt(Instant now) {
		return this.offset.minus(Duration.between(this.readAt, now).dividedBy(DECAY_DIVISOR));
	}

	/**
	 * Returns the estimated time of the log.
	 * @param now the local time
	 * @return the estimated time of the log
	 */
	public Instant logTime(Instant now) {
		return now.plus(this.offset);
	}

}
