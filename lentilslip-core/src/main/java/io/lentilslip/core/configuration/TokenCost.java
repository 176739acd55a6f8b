package io.lentilslip.core.configuration;

/**
 * Immutable relative costs of tokens. Costs are integers, so that sums are exact and
 * independent of order. Thread-safe.
 *
 * @param prefilled the cost of a prompt token that is not cached
 * @param cached the cost of a prompt token found in the engine's cache
 * @param generated the cost of a generated token
 */
public record TokenCost(long prefilled, long cached, long generated) {

	/**
	 * The default costs of a model.
	 */
	public static final TokenCost DEFAULT = new TokenCost(10, 1, 40);

	/**
	 * Creates costs.
	 * @param prefilled the cost of a prompt token that is not cached
	 * @param cached the cost of a prompt token found in the engine's cache
	 * @param generated the cost of a generated token
	 * @throws IllegalArgumentException if a cost is negative, or the cost of a generated
	 * or prefilled token is zero
	 */
	public TokenCost {
		Requirement.positive("cost of a prefilled token", prefilled);
		Requirement.notNegative("cost of a cached token", cached);
		Requirement.positive("cost of a generated token", generated);
	}

	/**
	 * Returns the cost of a call.
	 * @param prefilledTokens the prompt tokens not found in the cache
	 * @param cachedTokens the prompt tokens found in the cache
	 * @param generatedTokens the generated tokens
	 * @return the cost
	 */
	public long of(long prefilledTokens, long cachedTokens, long generatedTokens) {
		return this.prefilled * prefilledTokens + this.cached * cachedTokens + this.generated * generatedTokens;
	}

}
