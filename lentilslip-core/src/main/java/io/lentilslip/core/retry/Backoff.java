package io.lentilslip.core.retry;

import java.time.Duration;

/**
 * A pause that doubles with each failure up to a bound, of which a random half is taken
 * off. Without the random part all processes that lost the log at once would come back to
 * it at once. Immutable and safe for use by several threads.
 *
 * @param shortest the pause after the first failure
 * @param longest the longest pause
 */
public record Backoff(Duration shortest, Duration longest) {

	/**
	 * The pauses between attempts to reach a service of the platform. The longest leaves
	 * room for a change of configuration to be everywhere within seconds after an outage.
	 */
	public static final Backoff STANDARD = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));

	private static final int MOST_DOUBLINGS = 20;

	/**
	 * Creates a back-off.
	 * @param shortest the pause after the first failure
	 * @param longest the longest pause
	 * @throws IllegalArgumentException if the shortest is not positive or above the
	 * longest
	 */
	public Backoff {
		if (!shortest.isPositive() || shortest.compareTo(longest) > 0) {
			throw new IllegalArgumentException("no pauses from " + shortest + " to " + longest);
		}
	}

	/**
	 * Returns the pause before the next attempt.
	 * @param failures the number of failures in a row, from 1
	 * @param seed a random number
	 * @return the pause
	 */
	public Duration after(int failures, long seed) {
		int doublings = Math.min(failures - 1, MOST_DOUBLINGS);
		Duration whole = this.shortest.multipliedBy(1L << doublings);
		long nanos = ((whole.compareTo(this.longest) < 0) ? whole : this.longest).toNanos();
		return Duration.ofNanos(nanos - Math.floorMod(seed, nanos / 2 + 1));
	}

}
