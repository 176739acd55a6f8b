package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import io.lentilslip.core.retry.Backoff;

/**
 * Delays between retries of calls to the store. The delay increases with each failure
 * until a call succeeds. Used by one thread.
 */
final class RetryBackoff {

	/**
	 * The maximum delay is short, since it adds to the recovery time after an outage.
	 */
	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(40), Duration.ofMillis(400));

	private final RandomGenerator random;

	private int failures;

	RetryBackoff(RandomGenerator random) {
		this.random = random;
	}

	Duration nextDelay() {
		this.failures++;
		return BACKOFF.delayAfter(this.failures, this.random.nextLong());
	}

	void reset() {
		this.failures = 0;
	}

}
