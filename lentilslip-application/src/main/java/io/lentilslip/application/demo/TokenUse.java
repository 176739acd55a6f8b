package io.lentilslip.application.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.lentilslip.core.configuration.TokenCost;

/**
 * The tokens that calls took, as their answers say. Immutable and safe for use by several
 * threads.
 *
 * @param prompt the tokens of prompts, cached ones included
 * @param cached the tokens of prompts that the engine had cached
 * @param generated the tokens of answers
 */
record TokenUse(long prompt, long cached, long generated) {

	/**
	 * No tokens.
	 */
	static final TokenUse NONE = new TokenUse(0, 0, 0);

	/**
	 * Reads the tokens from an answer.
	 * @param usage the object {@code usage} of the answer
	 * @return the tokens
	 */
	static TokenUse of(JsonNode usage) {
		return new TokenUse(usage.path("prompt_tokens").asLong(),
				usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
				usage.path("completion_tokens").asLong());
	}

	/**
	 * Returns these tokens and others together.
	 * @param other the other tokens
	 * @return the sum
	 */
	TokenUse plus(TokenUse other) {
		return new TokenUse(this.prompt + other.prompt, this.cached + other.cached, this.generated + other.generated);
	}

	/**
	 * Returns the work that the tokens have been for engines.
	 * @param cost what the model's tokens cost
	 * @return the work in the cost's own unit
	 */
	long work(TokenCost cost) {
		return cost.of(this.prompt - this.cached, this.cached, this.generated);
	}

}
