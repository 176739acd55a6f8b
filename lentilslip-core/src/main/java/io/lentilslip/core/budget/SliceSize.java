package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;

/**
 * How large a slice an entry asks for: what its waiting calls need, and ahead of that
 * twice its last slice if that lasted less than {@link #QUICK}. What it asks ahead is at
 * most a sixteenth of what is left and a sixty-fourth of the budget: near the end of a
 * budget each call asks for what it needs alone, and an entry that dies takes no more
 * than that with it besides what its calls hold. Immutable and safe for use by several
 * threads.
 *
 * @param last the tokens of the last slice
 * @param granted when it was granted
 */
record SliceSize(long last, Instant granted) {

	/**
	 * A slice that lasts less is too small.
	 */
	static final Duration QUICK = Duration.ofSeconds(1);

	static final int PART_OF_LEFT = 16;

	static final int PART_OF_LIMIT = 64;

	static final SliceSize FIRST = new SliceSize(0, Instant.EPOCH);

	/**
	 * Returns the tokens to ask for.
	 * @param first what the first waiting call needs
	 * @param all what all waiting calls need
	 * @param left what is left of the budget
	 * @param limit the budget
	 * @param now the time of this process
	 * @return the tokens, at least what the first call needs
	 */
	long toAsk(long first, long all, long left, long limit, Instant now) {
		long ahead = (Duration.between(this.granted, now).compareTo(QUICK) < 0) ? this.last * 2 : this.last;
		long most = Math.min(left / PART_OF_LEFT, limit / PART_OF_LIMIT);
		return Math.max(first, Math.min(Math.max(all, ahead), most));
	}

}
