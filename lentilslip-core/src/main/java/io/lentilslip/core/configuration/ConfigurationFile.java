package io.lentilslip.core.configuration;

import java.util.Arrays;
import java.util.Objects;

import io.lentilslip.core.identity.Digest;

/**
 * Immutable file of a configuration folder. Thread-safe, since its content is copied on
 * construction and access.
 */
public final class ConfigurationFile {

	private final String name;

	private final byte[] bytes;

	/**
	 * Creates a file.
	 * @param name the file's name without its folder
	 * @param bytes the file's content
	 */
	public ConfigurationFile(String name, byte[] bytes) {
		this.name = Objects.requireNonNull(name, "name");
		this.bytes = bytes.clone();
	}

	/**
	 * Returns the name of the file.
	 * @return the name without its folder
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the content of the file.
	 * @return a copy of the bytes
	 */
	public byte[] bytes() {
		return this.bytes.clone();
	}

	/**
	 * Returns the length of the file.
	 * @return the number of bytes
	 */
	public int size() {
		return this.bytes.length;
	}

	/**
	 * Returns the digest of the file's name and content.
	 * @return the digest
	 */
	public Digest digest() {
		return Digest.of(this.name).then(Digest.of(this.bytes));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ConfigurationFile that && this.name.equals(that.name)
				&& Arrays.equals(this.bytes, that.bytes);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.name, Arrays.hashCode(this.bytes));
	}

	@Override
	public String toString() {
		return this.name + " (" + this.bytes.length + " bytes)";
	}

}
