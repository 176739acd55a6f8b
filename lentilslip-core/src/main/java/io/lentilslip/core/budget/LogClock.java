package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The time of the log as a process knows it between records. It is late by the time that
 * the freshest of the latest records took to arrive, and off by the drift of the two
 * clocks since then. Immutable and safe for use by several threads.
 *
 * @param offset how far the log's clock is ahead of this process's clock
 * @param readAt the time of this process when the last record was read
 */
public record LogClock(Duration offset, Instant readAt) {

	// A clock of a process that runs fast would make the lead too great for ever, since
	// only the greatest one seen counts. So it shrinks, faster than clocks drift.
	private static final int DECAY_DIVISOR = 1000;

	/**
	 * Returns the clock after a record was read.
	 * @param before the clock before, if a record was read before
	 * @param time the log's time of the record
	 * @param now the time of this process
	 * @return the clock
	 */
	public static LogClock update(Optional<LogClock> before, Instant time, Instant now) {
		Duration seen = Duration.between(now, time);
		Duration known = before.map((clock) -> clock.offsetAt(now)).orElse(seen);
		return new LogClock((known.compareTo(seen) > 0) ? known : seen, now);
	}

	private Duration offsetAt(Instant now) {
		return this.offset.minus(Duration.between(this.readAt, now).dividedBy(DECAY_DIVISOR));
	}

	/**
	 * Returns the log's time.
	 * @param now the time of this process
	 * @return the log's time, as far as is known
	 */
	public Instant logTime(Instant now) {
		return now.plus(this.offset);
	}

}
