package io.lentilslip.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Immutable number of tokens that a group may use per period. Thread-safe.
 *
 * @param tokens the tokens per period; zero blocks the group
 * @param period the length of a period
 */
public record Budget(long tokens, Duration period) {

	/**
	 * Creates a budget.
	 * @param tokens the tokens per period
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
	 * Returns this budget divided into equal shorter periods if its period exceeds a
	 * maximum. The tokens per period are rounded down.
	 * @param maxPeriod the maximum length of a period
	 * @return a budget with a period of at most the maximum
	 */
	public Budget splitTo(Duration maxPeriod) {
		if (this.period.compareTo(maxPeriod) <= 0) {
			return this;
		}
		long parts = Math.ceilDiv(this.period.toMillis(), maxPeriod.toMillis());
		return new Budget(this.tokens / parts, this.period.dividedBy(parts));
	}

}
