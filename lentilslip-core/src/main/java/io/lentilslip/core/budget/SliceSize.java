package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;

/**
 * How large a slice an entry asks for: what its waiting calls need, and ahead of that
 * twice its last slice if that lasted less than {@link #MIN_SLICE_DURATION}. What it asks
 * ahead is at most a sixteenth of what is left and a sixty-fourth of the budget: near the
 * end of a budget each call asks for what it needs alone, and an entry that dies takes no
 * more than that with it besides what its calls hold. Immutable and safe for use by
 * several threads.
 *
 * @param lastTokens the tokens of the last slice
 * @param grantedAt when it was granted
 */
record SliceSize(long lastTokens, Instant grantedAt) {

	/**
	 * A slice that lasts less is too small.
	 */
	static final Duration MIN_SLICE_DURATION = Duration.ofSeconds(1);

	static final int REMAINING_DIVISOR = 16;

	static final int LIMIT_DIVISOR = 64;

	static final SliceSize INITIAL = new SliceSize(0, Instant.EPOCH);

	/**
	 * Returns the tokens to ask for.
	 * @param first what the first waiting call needs
	 * @param all what all waiting calls need
	 * @param left what is left of the budget
	 * @param limit the budget
	 * @param now the time of this process
	 * @return the tokens, at least what the first call needs
	 */
	long nextSize(long first, long all, long left, long limit, Instant now) {
		long ahead = (Duration.between(this.grantedAt, now).compareTo(MIN_SLICE_DURATION) < 0) ? this.lastTokens * 2
				: this.lastTokens;
		long most = Math.min(left / REMAINING_DIVISOR, limit / LIMIT_DIVISOR);
		return Math.max(first, Math.min(Math.max(all, ahead), most));
	}

}
