package io.lentilslip.standin.engine;

import java.util.Arrays;
import java.util.List;

/**
 * The hashes of a sequence's full blocks, each over its own tokens and all that precede
 * them: two sequences share a block only if they agree from the first token to the
 * block's end. White space around a word does not count. A hash has 64 bits; a collision
 * would count a token as cached that is not, and never changes an answer. Mutable and not
 * safe for use by several threads.
 */
public final class BlockChain {

	/**
	 * The tokens of one block.
	 */
	public static final int BLOCK_TOKENS = 16;

	private static final long OFFSET = 0xcbf29ce484222325L;

	private static final long PRIME = 0x100000001b3L;

	private long[] hashes;

	private int blocks;

	private long rolling = OFFSET;

	private int tokens;

	private BlockChain(long[] hashes) {
		this.hashes = hashes;
	}

	/**
	 * Creates a chain without tokens.
	 * @return a new chain
	 */
	public static BlockChain empty() {
		return new BlockChain(new long[4]);
	}

	/**
	 * Creates the chain of some tokens.
	 * @param tokens the tokens in their order
	 * @return a new chain
	 */
	public static BlockChain of(List<String> tokens) {
		BlockChain chain = empty();
		tokens.forEach(chain::append);
		return chain;
	}

	/**
	 * Creates a chain from what {@link #hash(int)}, {@link #rolling()} and
	 * {@link #tokens()} told of another.
	 * @param hashes the hashes of the full blocks
	 * @param rolling the hash up to the last token
	 * @param tokens the number of tokens
	 * @return a new chain
	 * @throws IllegalArgumentException if the number of blocks is not that of the tokens
	 */
	static BlockChain restore(long[] hashes, long rolling, int tokens) {
		if (tokens < 0 || tokens / BLOCK_TOKENS != hashes.length) {
			throw new IllegalArgumentException(tokens + " tokens do not have " + hashes.length + " full blocks");
		}
		BlockChain chain = new BlockChain(hashes.clone());
		chain.blocks = hashes.length;
		chain.rolling = rolling;
		chain.tokens = tokens;
		return chain;
	}

	/**
	 * Appends a token.
	 * @param token the token to append
	 */
	public void append(String token) {
		String word = token.strip();
		for (int i = 0; i < word.length(); i++) {
			this.rolling = (this.rolling ^ word.charAt(i)) * PRIME;
		}
		this.rolling = mix(this.rolling ^ word.length());
		this.tokens++;
		if (this.tokens % BLOCK_TOKENS == 0) {
			appendBlock();
		}
	}

	private void appendBlock() {
		if (this.blocks == this.hashes.length) {
			this.hashes = Arrays.copyOf(this.hashes, Math.max(4, this.blocks * 2));
		}
		this.hashes[this.blocks] = this.rolling;
		this.blocks++;
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		return mixed ^ (mixed >>> 27);
	}

	/**
	 * Returns a chain that starts as this one and is appended to apart from it.
	 * @return a new chain
	 */
	public BlockChain copy() {
		return restore(Arrays.copyOf(this.hashes, this.blocks), this.rolling, this.tokens);
	}

	/**
	 * Returns the number of tokens.
	 * @return the number of tokens
	 */
	public int tokens() {
		return this.tokens;
	}

	/**
	 * Returns the number of full blocks.
	 * @return the number of full blocks
	 */
	public int fullBlocks() {
		return this.blocks;
	}

	/**
	 * Returns the hash of a full block.
	 * @param block the block's number from 0
	 * @return the hash
	 */
	public long hash(int block) {
		return this.hashes[block];
	}

	/**
	 * Returns the hash of all tokens up to the last, within a block as well.
	 * @return the hash
	 */
	long rolling() {
		return this.rolling;
	}

	/**
	 * Returns how many blocks hold some tokens, the last of them perhaps in part.
	 * @param tokens the number of tokens
	 * @return the number of blocks
	 */
	static int blocksFor(int tokens) {
		return Math.ceilDiv(tokens, BLOCK_TOKENS);
	}

}
