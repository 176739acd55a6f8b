package io.lentilslip.core.retry;

import java.util.Optional;

/**
 * Token bucket that limits retries to a percentage of first attempts. Each first attempt
 * adds a fraction of a retry, up to a capacity; the bucket starts full. Over any
 * interval, retries are bounded by that percentage of its first attempts plus the
 * capacity, so that retries cannot multiply the load on slow upstreams. Immutable and
 * safe for use by several threads.
 *
 * @param percent the retries added by a hundred first attempts
 * @param capacity the maximum number of saved retries
 * @param balanceHundredths the saved retries, in hundredths
 */
public record RetryBudget(int percent, int capacity, long balanceHundredths) {

	/**
	 * Default capacity.
	 */
	public static final int DEFAULT_CAPACITY = 10;

	private static final int HUNDREDTHS_PER_RETRY = 100;

	/**
	 * Creates a budget.
	 * @param percent the retries added by a hundred first attempts
	 * @param capacity the maximum number of saved retries
	 * @param balanceHundredths the saved retries, in hundredths
	 * @throws IllegalArgumentException if a value is negative or the balance exceeds the
	 * capacity
	 */
	public RetryBudget {
		if (percent < 0 || capacity < 0 || balanceHundredths < 0
				|| balanceHundredths > (long) capacity * HUNDREDTHS_PER_RETRY) {
			throw new IllegalArgumentException(
					"retry budget requires non-negative values and a balance within capacity, not percent=" + percent
							+ ", capacity=" + capacity + ", balanceHundredths=" + balanceHundredths);
		}
	}

	/**
	 * Returns a full budget, or an empty one if the percentage is zero.
	 * @param percent the retries added by a hundred first attempts
	 * @param capacity the maximum number of saved retries
	 * @return the budget
	 */
	public static RetryBudget of(int percent, int capacity) {
		return new RetryBudget(percent, capacity, (percent > 0) ? (long) capacity * HUNDREDTHS_PER_RETRY : 0);
	}

	/**
	 * Returns the budget after a first attempt.
	 * @return the budget with the earned fraction of a retry
	 */
	public RetryBudget afterFirstAttempt() {
		long earned = Math.min(this.balanceHundredths + this.percent, (long) this.capacity * HUNDREDTHS_PER_RETRY);
		return new RetryBudget(this.percent, this.capacity, earned);
	}

	/**
	 * Returns the budget after a retry.
	 * @return the budget with one retry less, or an empty result if less than one retry
	 * is saved
	 */
	public Optional<RetryBudget> afterRetry() {
		if (this.balanceHundredths < HUNDREDTHS_PER_RETRY) {
			return Optional.empty();
		}
		return Optional.of(new RetryBudget(this.percent, this.capacity, this.balanceHundredths - HUNDREDTHS_PER_RETRY));
	}

}
