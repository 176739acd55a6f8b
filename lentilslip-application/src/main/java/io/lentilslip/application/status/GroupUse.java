package io.lentilslip.application.status;

import io.lentilslip.core.configuration.TokenCost;

/**
 * What a group has used since the processes that were asked began. Immutable and safe for
 * use by several threads.
 *
 * @param calls the calls that ended
 * @param promptTokens the tokens of prompts, cached ones included
 * @param cachedTokens the tokens of prompts that engines had cached
 * @param generatedTokens the tokens of answers
 */
public record GroupUse(long calls, long promptTokens, long cachedTokens, long generatedTokens) {

	/**
	 * Nothing used.
	 */
	public static final GroupUse NONE = new GroupUse(0, 0, 0, 0);

	/**
	 * Returns this use and another one together.
	 * @param other the other use
	 * @return the sum
	 */
	public GroupUse plus(GroupUse other) {
		return new GroupUse(this.calls + other.calls, this.promptTokens + other.promptTokens,
				this.cachedTokens + other.cachedTokens, this.generatedTokens + other.generatedTokens);
	}

	/**
	 * Returns the work that the use has been for engines.
	 * @param cost what tokens cost
	 * @return the work in the cost's own unit
	 */
	public long work(TokenCost cost) {
		return cost.of(this.promptTokens - this.cachedTokens, this.cachedTokens, this.generatedTokens);
	}

}
