package io.lentilslip.core.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Immutable SHA-256 digest in lower-case hexadecimal digits. Thread-safe.
 *
 * @param hex 64 hexadecimal digits
 */
public record Digest(String hex) {

	private static final int DIGITS = 64;

	private static final HexFormat FORMAT = HexFormat.of();

	/**
	 * The digest of an empty byte array, with which a chain of digests starts.
	 */
	public static final Digest EMPTY = of(new byte[0]);

	/**
	 * Creates a digest.
	 * @param hex 64 hexadecimal digits
	 * @throws IllegalArgumentException if the text has a different length
	 */
	public Digest {
		Objects.requireNonNull(hex, "hex");
		if (hex.length() != DIGITS) {
			throw new IllegalArgumentException("digest must have " + DIGITS + " digits: " + hex.length());
		}
	}

	/**
	 * Returns the digest of a byte array.
	 * @param bytes the bytes to digest
	 * @return the digest
	 */
	public static Digest of(byte[] bytes) {
		return new Digest(FORMAT.formatHex(sha256().digest(bytes)));
	}

	/**
	 * Returns the digest of a text encoded in UTF-8.
	 * @param text the text to digest
	 * @return the digest
	 */
	public static Digest of(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the digest of this digest followed by another one. The operands have a
	 * fixed length, so chains over different lists of items have different digests.
	 * @param item the digest of the item that follows
	 * @return the digest of the longer list
	 */
	public Digest then(Digest item) {
		return of(this.hex + item.hex);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	@Override
	public String toString() {
		return this.hex;
	}

}
