package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The pauses between tries at a store that fails: doubling, and spread out by chance, so
 * that relays do not all come back at the same moment. Used by one thread.
 */
final class Backoff {

	private static final long FIRST_MS = 40;

	/**
	 * The longest pause. Recovery after an outage is late by it on average half, which
	 * callers' retries bridge.
	 */
	private static final long LONGEST_MS = 400;

	private final RandomGenerator random;

	private long pause = FIRST_MS;

	Backoff(RandomGenerator random) {
		this.random = random;
	}

	Duration next() {
		long bound = this.pause;
		this.pause = Math.min(2 * this.pause, LONGEST_MS);
		return Duration.ofMillis(bound / 2 + this.random.nextLong(bound / 2 + 1));
	}

	void reset() {
		this.pause = FIRST_MS;
	}

}
