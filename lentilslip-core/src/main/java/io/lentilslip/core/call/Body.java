package io.lentilslip.core.call;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.lentilslip.core.identity.Digest;

/**
 * A body of bytes that never changes. Safe for use by several threads.
 */
public final class Body {

	/**
	 * The body without bytes.
	 */
	public static final Body EMPTY = new Body(new byte[0]);

	private final byte[] bytes;

	private Body(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Returns a body of a copy of some bytes.
	 * @param bytes the bytes to copy
	 * @return the body
	 */
	public static Body of(byte[] bytes) {
		return new Body(bytes.clone());
	}

	/**
	 * Returns a body of a text in UTF-8.
	 * @param text the text
	 * @return the body
	 */
	public static Body of(String text) {
		return new Body(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a copy of the bytes.
	 * @return the bytes
	 */
	public byte[] toBytes() {
		return this.bytes.clone();
	}

	/**
	 * Returns the bytes read as UTF-8.
	 * @return the text
	 */
	public String toText() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the number of bytes.
	 * @return the number of bytes
	 */
	public int length() {
		return this.bytes.length;
	}

	/**
	 * Returns the digest of the bytes.
	 * @return the digest of the bytes
	 */
	public Digest digest() {
		return Digest.of(this.bytes);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Body that && Arrays.equals(this.bytes, that.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	@Override
	public String toString() {
		return "Body[" + this.bytes.length + " bytes]";
	}

}
