package io.lentilslip.core.call;

/**
 * The tokens that a call took. Immutable and safe for use by several threads.
 *
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens those of them that the engine had cached
 * @param generatedTokens the tokens generated
 */
public record Usage(int promptTokens, int cachedTokens, int generatedTokens) {

	/**
	 * The usage of a call that took no tokens.
	 */
	public static final Usage NONE = new Usage(0, 0, 0);

	/**
	 * Returns the tokens that count against a budget.
	 * @return prompt and generated tokens
	 */
	public long total() {
		return (long) this.promptTokens + this.generatedTokens;
	}

}
