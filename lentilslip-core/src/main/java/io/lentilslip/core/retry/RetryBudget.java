package io.lentilslip.core.retry;

import java.util.Optional;

/**
 * A token bucket that keeps retries under a share of first attempts. Each first attempt
 * earns a part of a retry, up to a bound; the bucket begins full. So between any two
 * moments there are at most that share of the first attempts between them, and the bound.
 * Without it, retries would multiply the load just when an upstream is slow. Immutable
 * and safe for use by several threads.
 *
 * @param percent the retries that a hundred first attempts earn
 * @param capacity the most retries that are saved up
 * @param balanceHundredths the retries saved up, in hundredths
 */
public record RetryBudget(int percent, int capacity, long balanceHundredths) {

	/**
	 * The retries that are saved up by default.
	 */
	public static final int DEFAULT_CAPACITY = 10;

	private static final int HUNDREDTHS_PER_RETRY = 100;

	/**
	 * Creates a budget.
	 * @param percent the retries that a hundred first attempts earn
	 * @param capacity the most retries that are saved up
	 * @param balanceHundredths the retries saved up, in hundredths
	 * @throws IllegalArgumentException if a number is negative or the balance above the
	 * bound
	 */
	public RetryBudget {
		if (percent < 0 || capacity < 0 || balanceHundredths < 0
				|| balanceHundredths > (long) capacity * HUNDREDTHS_PER_RETRY) {
			throw new IllegalArgumentException(
					"no retry budget: " + percent + ", " + capacity + ", " + balanceHundredths);
		}
	}

	/**
	 * Returns a full budget. One that earns nothing is empty for ever.
	 * @param percent the retries that a hundred first attempts earn
	 * @param capacity the most retries that are saved up
	 * @return the budget
	 */
	public static RetryBudget of(int percent, int bound) {
		return new RetryBudget(percent, bound, (percent > 0) ? (long) bound * HUNDREDTHS_PER_RETRY : 0);
	}

	/**
	 * Returns the budget after a first attempt.
	 * @return a budget that has earned a part of a retry
	 */
	public RetryBudget afterFirstAttempt() {
		long earned = Math.min(this.balanceHundredths + this.percent, (long) this.capacity * HUNDREDTHS_PER_RETRY);
		return new RetryBudget(this.percent, this.capacity, earned);
	}

	/**
	 * Returns the budget after a retry.
	 * @return a budget with one retry less, or an empty result if there is none left
	 */
	public Optional<RetryBudget> afterRetry() {
		if (this.balanceHundredths < HUNDREDTHS_PER_RETRY) {
			return Optional.empty();
		}
		return Optional.of(new RetryBudget(this.percent, this.capacity, this.balanceHundredths - HUNDREDTHS_PER_RETRY));
	}

}
