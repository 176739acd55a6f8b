package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import io.lentilslip.core.retry.Backoff;

/**
 * The pauses between tries at a store that fails, counted from the last success. Used by
 * one thread.
 */
final class RetryBackoff {

	/**
	 * The longest pause is short: recovery after an outage is late by it, which callers'
	 * retries bridge.
	 */
	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(40), Duration.ofMillis(400));

	private final RandomGenerator random;

	private int failures;

	RetryBackoff(RandomGenerator random) {
		this.random = random;
	}

	Duration nextDelay() {
		this.failures++;
		return BACKOFF.after(this.failures, this.random.nextLong());
	}

	void reset() {
		this.failures = 0;
	}

}
