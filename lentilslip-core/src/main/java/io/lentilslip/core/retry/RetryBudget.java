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
 * @param bound the most retries that are saved up
 * @param balance the retries saved up, in hundredths
 */
public record RetryBudget(int percent, int bound, long balance) {

	/**
	 * The retries that are saved up by default.
	 */
	public static final int DEFAULT_BOUND = 10;

	private static final int ONE_RETRY = 100;

	/**
	 * Creates a budget.
	 * @param percent the retries that a hundred first attempts earn
	 * @param bound the most retries that are saved up
	 * @param balance the retries saved up, in hundredths
	 * @throws IllegalArgumentException if a number is negative or the balance above the
	 * bound
	 */
	public RetryBudget {
		if (percent < 0 || bound < 0 || balance < 0 || balance > (long) bound * ONE_RETRY) {
			throw new IllegalArgumentException("no retry budget: " + percent + ", " + bound + ", " + balance);
		}
	}

	/**
	 * Returns a full budget. One that earns nothing is empty for ever.
	 * @param percent the retries that a hundred first attempts earn
	 * @param bound the most retries that are saved up
	 * @return the budget
	 */
	public static RetryBudget of(int percent, int bound) {
		return new RetryBudget(percent, bound, (percent > 0) ? (long) bound * ONE_RETRY : 0);
	}

	/**
	 * Returns the budget after a first attempt.
	 * @return a budget that has earned a part of a retry
	 */
	public RetryBudget afterFirstAttempt() {
		long earned = Math.min(this.balance + this.percent, (long) this.bound * ONE_RETRY);
		return new RetryBudget(this.percent, this.bound, earned);
	}

	/**
	 * Returns the budget after a retry.
	 * @return a budget with one retry less, or an empty result if there is none left
	 */
	public Optional<RetryBudget> afterRetry() {
		if (this.balance < ONE_RETRY) {
			return Optional.empty();
		}
		return Optional.of(new RetryBudget(this.percent, this.bound, this.balance - ONE_RETRY));
	}

}
