package io.lentilslip.core.call;

/**
 * Immutable token usage of a call. Thread-safe.
 *
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens the prompt tokens found in the engine's cache
 * @param generatedTokens the generated tokens
 */
public record Usage(int promptTokens, int cachedTokens, int generatedTokens) {

	/**
	 * The usage of a call without tokens.
	 */
	public static final Usage NONE = new Usage(0, 0, 0);

	/**
	 * Returns the tokens that count against a budget.
	 * @return the sum of prompt and generated tokens
	 */
	public long total() {
		return (long) this.promptTokens + this.generatedTokens;
	}

}
