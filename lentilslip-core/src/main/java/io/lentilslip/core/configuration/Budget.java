package io.lentilslip.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * The tokens a group may use in each period. Immutable and safe for use by several
 * threads.
 *
 * @param tokens the tokens of one period; none at all stops the group
 * @param period the length of a period
 */
public record Budget(long tokens, Duration period) {

	/**
	 * Creates a budget.
	 * @param tokens the tokens of one period
	 * @param period the length of a period
	 * @throws IllegalArgumentException if the tokens are negative or the period is not
	 * positive
	 */
	public Budget {
		Objects.requireNonNull(period, "period");
		Requirement.notNegative("tokens", tokens);
		Requirement.positive("period", period);
	}

	/**
	 * Returns this budget, or an equal part of it for an equal part of a period that is
	 * longer than another time. A fraction of a token is left out.
	 * @param longest the longest period
	 * @return a budget whose periods are not longer
	 */
	public Budget splitTo(Duration longest) {
		if (this.period.compareTo(longest) <= 0) {
			return this;
		}
		long parts = Math.ceilDiv(this.period.toMillis(), longest.toMillis());
		return new Budget(this.tokens / parts, this.period.dividedBy(parts));
	}

}
