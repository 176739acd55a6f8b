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

}
