package io.lentilslip.core.configuration;

/**
 * The relative costs of tokens. Whole numbers, so that sums agree on every process
 * whatever their order. Immutable and safe for use by several threads.
 *
 * @param prefilled the cost of a prompt token that is computed
 * @param cached the cost of a prompt token that is found in the engine's cache
 * @param generated the cost of a generated token
 */
public record TokenCost(long prefilled, long cached, long generated) {

	/**
	 * The costs of a model for which operators give none.
	 */
	public static final TokenCost DEFAULT = new TokenCost(10, 1, 40);

	/**
	 * Creates costs.
	 * @param prefilled the cost of a prompt token that is computed
	 * @param cached the cost of a prompt token that is found in the engine's cache
	 * @param generated the cost of a generated token
	 * @throws IllegalArgumentException if a cost is negative, or that of a generated or
	 * prefilled token is zero
	 */
	public TokenCost {
		Requirement.positive("cost of a prefilled token", prefilled);
		Requirement.notNegative("cost of a cached token", cached);
		Requirement.positive("cost of a generated token", generated);
	}

	/**
	 * Returns the cost of one call.
	 * @param prefilledTokens the prompt tokens that were computed
	 * @param cachedTokens the prompt tokens that were found in the cache
	 * @param generatedTokens the tokens that were generated
	 * @return the cost
	 */
	public long of(long prefilledTokens, long cachedTokens, long generatedTokens) {
		return this.prefilled * prefilledTokens + this.cached * cachedTokens + this.generated * generatedTokens;
	}

}
