package io.lentilslip.core.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Immutable digest of an API key. The key itself stays at the edge: what is looked up,
 * compared or printed is its digest, so that the time of a look-up says nothing of keys.
 *
 * @param first the first 8 of the digest's bytes
 * @param second the next 8
 * @param third the next 8
 * @param fourth the last 8
 */
public record KeyDigest(long first, long second, long third, long fourth) {

	/**
	 * Creates the digest of a key.
	 * @param key the key
	 * @return its digest
	 */
	public static KeyDigest of(String key) {
		try {
			ByteBuffer digest = ByteBuffer
				.wrap(MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
			return new KeyDigest(digest.getLong(), digest.getLong(), digest.getLong(), digest.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public String toString() {
		return "digest";
	}

}
