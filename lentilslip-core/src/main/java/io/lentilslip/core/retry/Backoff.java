package io.lentilslip.core.retry;

import java.time.Duration;

/**
 * A pause that doubles with each failure up to a bound, of which a random half is taken
 * off. Without the random part all processes that lost the log at once would come back to
 * it at once. Immutable and safe for use by several threads.
 *
 * @param initial the pause after the first failure
 * @param maximum the longest pause
 */
public record Backoff(Duration initial, Duration maximum) {

	/**
	 * The pauses between attempts to reach a service of the platform. The longest leaves
	 * room for a change of configuration to be everywhere within seconds after an outage.
	 */
	public static final Backoff STANDARD = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));

	private static final int MAX_DOUBLINGS = 20;

	/**
	 * Creates a back-off.
	 * @param initial the pause after the first failure
	 * @param maximum the longest pause
	 * @throws IllegalArgumentException if the shortest is not positive or above the
	 * longest
	 */
	public Backoff {
		if (!initial.isPositive() || initial.compareTo(maximum) > 0) {
			throw new IllegalArgumentException("no pauses from " + initial + " to " + maximum);
		}
	}

	/**
	 * Returns the pause before the next attempt.
	 * @param failures the number of failures in a row, from 1
	 * @param seed a random number
	 * @return the pause
	 */
	public Duration delayAfter(int failures, long seed) {
		int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
		Duration whole = this.initial.multipliedBy(1L << doublings);
		long nanos = ((whole.compareTo(this.maximum) < 0) ? whole : this.maximum).toNanos();
		return Duration.ofNanos(nanos - Math.floorMod(seed, nanos / 2 + 1));
	}

}
