package io.lentilslip.standin.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/**
 * The answer that the engine will give to a request, known from the start. Token
 * {@code i} depends on the conversation and {@code i} alone, so that an answer continued
 * elsewhere has the same rest. Immutable and safe for use by several threads.
 *
 * @param seed the digest of the conversation without a partial answer at its end
 * @param from the position of the first token to generate, above 0 for a continuation
 * @param count the number of tokens to generate
 * @param finishReason the reason for which the answer ends after these tokens
 * @param toolCall the tool call that stands for the text, if it is one
 */
public record AnswerPlan(long seed, int from, int count, String finishReason, Optional<ToolCall> toolCall) {

	private static final String[] ONSETS = { "b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "z", "ch",
			"st" };

	private static final String[] VOWELS = { "a", "e", "i", "o", "u", "ai", "ea", "ou" };

	/**
	 * Returns the text of a token.
	 * @param position the token's position in the whole answer
	 * @return the token with its following space
	 */
	public String token(int position) {
		if (this.toolCall.isPresent()) {
			return this.toolCall.get().tokens().get(position);
		}
		long bits = bits(position);
		return syllable(bits) + syllable(bits >>> 8) + " ";
	}

	private static String syllable(long bits) {
		return ONSETS[(int) (bits & 15)] + VOWELS[(int) ((bits >>> 4) & 7)];
	}

	private long bits(int position) {
		byte[] input = ByteBuffer.allocate(Long.BYTES + Integer.BYTES).putLong(this.seed).putInt(position).array();
		return ByteBuffer.wrap(sha256().digest(input)).getLong();
	}

	/**
	 * Returns the first 64 bits of a text's SHA-256 digest.
	 * @param text the text
	 * @return the bits
	 */
	static long digest(String text) {
		return ByteBuffer.wrap(sha256().digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
