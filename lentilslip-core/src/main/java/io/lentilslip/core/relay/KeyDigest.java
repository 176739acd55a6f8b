package io.lentilslip.core.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Immutable digest of an API key. Only the digest is looked up, compared or printed, so
 * that the duration of a lookup reveals nothing about keys.
 *
 * @param first bytes 0 to 7 of the digest
 * @param second bytes 8 to 15
 * @param third bytes 16 to 23
 * @param fourth bytes 24 to 31
 */
public record KeyDigest(long first, long second, long third, long fourth) {

	/**
	 * Returns the SHA-256 digest of a key.
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
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	@Override
	public String toString() {
		return "digest";
	}

}
