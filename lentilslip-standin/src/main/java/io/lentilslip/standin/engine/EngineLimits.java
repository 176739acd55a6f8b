package io.lentilslip.standin.engine;

/**
 * The bounds of an engine. Immutable and safe for use by several threads.
 *
 * @param memoryTokens the tokens of KV memory
 * @param batch the most requests that run at once
 * @param waiting the most requests that wait
 * @param prefillTokensPerStep the most prompt tokens computed in one step
 * @param sessions the most pinned sessions
 */
public record EngineLimits(int memoryTokens, int batch, int waiting, int prefillTokensPerStep, int sessions) {

	private static final EngineLimits SMALL = new EngineLimits(65_536, 16, 1_024, 2_048, 4_096);

	/**
	 * Creates limits.
	 * @param memoryTokens the tokens of KV memory
	 * @param batch the most requests that run at once
	 * @param waiting the most requests that wait
	 * @param prefillTokensPerStep the most prompt tokens computed in one step
	 * @param sessions the most pinned sessions
	 * @throws IllegalArgumentException if a bound allows nothing at all
	 */
	public EngineLimits {
		if (memoryTokens < BlockChain.BLOCK_TOKENS || batch < 1 || waiting < 1 || prefillTokensPerStep < 1
				|| sessions < 0) {
			throw new IllegalArgumentException("an engine needs memory, a batch, a queue and prefill above zero");
		}
	}

	/**
	 * Returns the limits of a small engine.
	 * @return 65,536 tokens of memory, 16 requests at once, 1,024 waiting
	 */
	public static EngineLimits small() {
		return SMALL;
	}

	/**
	 * Returns these limits with another memory.
	 * @param tokens the tokens of KV memory
	 * @return the limits
	 */
	public EngineLimits withMemoryTokens(int tokens) {
		return new EngineLimits(tokens, this.batch, this.waiting, this.prefillTokensPerStep, this.sessions);
	}

	/**
	 * Returns these limits with another batch.
	 * @param requests the most requests that run at once
	 * @return the limits
	 */
	public EngineLimits withBatch(int requests) {
		return new EngineLimits(this.memoryTokens, requests, this.waiting, this.prefillTokensPerStep, this.sessions);
	}

	/**
	 * Returns these limits with another queue.
	 * @param requests the most requests that wait
	 * @return the limits
	 */
	public EngineLimits withWaiting(int requests) {
		return new EngineLimits(this.memoryTokens, this.batch, requests, this.prefillTokensPerStep, this.sessions);
	}

	/**
	 * Returns the blocks of the memory.
	 * @return the number of whole blocks
	 */
	int memoryBlocks() {
		return this.memoryTokens / BlockChain.BLOCK_TOKENS;
	}

}
