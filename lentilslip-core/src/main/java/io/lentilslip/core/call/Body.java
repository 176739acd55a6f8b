package io.lentilslip.core.call;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.lentilslip.core.identity.Digest;

/**
 * Immutable bytes of a message body. Thread-safe.
 */
public final class Body {

	/**
	 * An empty body.
	 */
	public static final Body EMPTY = new Body(new byte[0]);

	private final byte[] bytes;

	private Body(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Returns a body with a copy of the given bytes.
	 * @param bytes the bytes to copy
	 * @return the body
	 */
	public static Body of(byte[] bytes) {
		return new Body(bytes.clone());
	}

	/**
	 * Returns a body with a text encoded in UTF-8.
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
	 * Returns the bytes decoded as UTF-8.
	 * @return the text
	 */
	public String toText() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the length of the body.
	 * @return the number of bytes
	 */
	public int length() {
		return this.bytes.length;
	}

	/**
	 * Returns the digest of the bytes.
	 * @return the digest
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
