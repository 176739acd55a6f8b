package io.lentilslip.core.retry;

import java.time.Duration;

/**
 * Exponential backoff with random jitter: the delay doubles with each failure up to a
 * maximum, and up to half of it is subtracted at random. The jitter keeps processes that
 * lost a service at the same time from reconnecting at the same time. Immutable and safe
 * for use by several threads.
 *
 * @param initial the maximum delay after the first failure
 * @param maximum the maximum delay after any number of failures
 */
public record Backoff(Duration initial, Duration maximum) {

	/**
	 * Backoff for services of the platform. Its maximum lets configuration changes
	 * propagate within seconds after an outage.
	 */
	public static final Backoff STANDARD = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));

	private static final int MAX_DOUBLINGS = 20;

	/**
	 * Creates a backoff.
	 * @param initial the maximum delay after the first failure
	 * @param maximum the maximum delay after any number of failures
	 * @throws IllegalArgumentException if the initial delay is not positive or exceeds
	 * the maximum
	 */
	public Backoff {
		if (!initial.isPositive() || initial.compareTo(maximum) > 0) {
			throw new IllegalArgumentException(
					"initial delay must be positive and not exceed the maximum, not " + initial + " and " + maximum);
		}
	}

	/**
	 * Returns the delay before the next attempt.
	 * @param failures the number of consecutive failures, from 1
	 * @param seed a random seed
	 * @return the delay
	 */
	public Duration delayAfter(int failures, long seed) {
		int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
		Duration whole = this.initial.multipliedBy(1L << doublings);
		long nanos = ((whole.compareTo(this.maximum) < 0) ? whole : this.maximum).toNanos();
		return Duration.ofNanos(nanos - Math.floorMod(seed, nanos / 2 + 1));
	}

}
