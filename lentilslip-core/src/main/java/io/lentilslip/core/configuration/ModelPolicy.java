package io.lentilslip.core.configuration;

import java.util.Objects;

import io.lentilslip.core.identity.ModelName;

/**
 * What a model can take and what its tokens cost. Costs are relative to each other and to
 * those of the other models; shares are measured in them. Immutable and safe for use by
 * several threads.
 *
 * @param name the model
 * @param contextTokens the most tokens of prompt and output together
 * @param maximumOutputTokens the most tokens one call may generate
 * @param cost what the model's tokens cost
 */
public record ModelPolicy(ModelName name, long contextTokens, long maximumOutputTokens, TokenCost cost) {

	/**
	 * Creates the policy of a model.
	 * @param name the model
	 * @param contextTokens the most tokens of prompt and output together
	 * @param maximumOutputTokens the most tokens one call may generate
	 * @param cost what the model's tokens cost
	 * @throws IllegalArgumentException if a number is not positive, or the output does
	 * not fit in the context
	 */
	public ModelPolicy {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(cost, "cost");
		Requirement.positive("context tokens", contextTokens);
		Requirement.positive("maximum output tokens", maximumOutputTokens);
		if (maximumOutputTokens > contextTokens) {
			throw new IllegalArgumentException("the output does not fit in the context");
		}
	}

}
