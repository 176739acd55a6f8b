package io.lentilslip.core.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads the return of refused callers over time at the rate at which programs are
 * admitted, so that they neither come back together nor before there is room. Not
 * thread-safe.
 */
final class ReturnSchedule {

	/**
	 * The shortest delay before a retry: long enough for the reported loads to change.
	 */
	private static final Duration MIN_DELAY = Duration.ofMillis(100);

	private static final double MILLIS_PER_SECOND = 1000;

	private final RandomGenerator random;

	private double nextReturnAt;

	ReturnSchedule(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Schedules the return of a caller.
	 * @param admittedPerSecond the rate at which programs are admitted
	 * @param longest the longest delay that the caller follows
	 * @param now the current time in milliseconds
	 * @return the delay after which the caller is to come back
	 */
	Duration next(double admittedPerSecond, Duration longest, long now) {
		double earliest = now + (double) MIN_DELAY.toMillis();
		double latest = Math.max(earliest, now + (double) longest.toMillis());
		double interval = MILLIS_PER_SECOND / Math.max(admittedPerSecond, 1);
		this.nextReturnAt = Math.max(this.nextReturnAt, earliest) + interval * 2 * this.random.nextDouble();
		if (this.nextReturnAt > latest) {
			// More callers than can be served in time: the rest is spread over the whole
			// time, and the schedule does not grow further.
			this.nextReturnAt = latest;
			return Duration.ofMillis(Math.round(earliest + (latest - earliest) * this.random.nextDouble() - now));
		}
		return Duration.ofMillis(Math.round(this.nextReturnAt - now));
	}

}
