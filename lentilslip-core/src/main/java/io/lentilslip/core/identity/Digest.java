package io.lentilslip.core.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * A SHA-256 digest in lower-case hexadecimal digits. Immutable and safe for use by
 * several threads.
 *
 * @param hex 64 hexadecimal digits
 */
public record Digest(String hex) {

	private static final int DIGITS = 64;

	private static final HexFormat FORMAT = HexFormat.of();

	/**
	 * The digest of no bytes, where a chain of digests begins.
	 */
	public static final Digest EMPTY = of(new byte[0]);

	/**
	 * Creates a digest.
	 * @param hex 64 hexadecimal digits
	 * @throws IllegalArgumentException if the text has another length
	 */
	public Digest {
		Objects.requireNonNull(hex, "hex");
		if (hex.length() != DIGITS) {
			throw new IllegalArgumentException("a digest has " + DIGITS + " digits, not " + hex.length());
		}
	}

	/**
	 * Returns the digest of some bytes.
	 * @param bytes the bytes to digest
	 * @return the digest of the bytes
	 */
	public static Digest of(byte[] bytes) {
		return new Digest(FORMAT.formatHex(sha256().digest(bytes)));
	}

	/**
	 * Returns the digest of a text in UTF-8.
	 * @param text the text to digest
	 * @return the digest of the text
	 */
	public static Digest of(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the digest of this digest followed by another item. The digests of two
	 * different lists of items differ, since each step has a fixed length.
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
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public String toString() {
		return this.hex;
	}

}
