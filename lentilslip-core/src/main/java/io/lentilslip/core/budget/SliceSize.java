package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;

/**
 * Immutable sizing of the slices that an entry reserves. A slice covers the waiting
 * calls, or the size of the last slice if that is larger; the last size is doubled if the
 * slice was used up within {@link #MIN_SLICE_DURATION}. Tokens beyond the need of the
 * first call are limited to a fraction of the remaining budget and of the whole budget.
 * This limits the tokens lost if the entry crashes, and near the end of a budget each
 * call reserves only what it needs. Thread-safe.
 *
 * @param lastTokens the tokens of the last slice
 * @param grantedAt when it was granted
 */
record SliceSize(long lastTokens, Instant grantedAt) {

	/**
	 * A slice that is used up sooner is too small.
	 */
	static final Duration MIN_SLICE_DURATION = Duration.ofSeconds(1);

	static final int REMAINING_DIVISOR = 16;

	static final int LIMIT_DIVISOR = 64;

	static final SliceSize INITIAL = new SliceSize(0, Instant.EPOCH);

	/**
	 * Returns the number of tokens to reserve.
	 * @param firstCall the tokens needed by the first waiting call
	 * @param allCalls the tokens needed by all waiting calls
	 * @param remaining the remainder of the budget
	 * @param limit the budget
	 * @param now the local time
	 * @return the tokens, at least those needed by the first call
	 */
	long nextSize(long firstCall, long allCalls, long remaining, long limit, Instant now) {
		long target = (Duration.between(this.grantedAt, now).compareTo(MIN_SLICE_DURATION) < 0) ? this.lastTokens * 2
				: this.lastTokens;
		long maximum = Math.min(remaining / REMAINING_DIVISOR, limit / LIMIT_DIVISOR);
		return Math.max(firstCall, Math.min(Math.max(allCalls, target), maximum));
	}

}
