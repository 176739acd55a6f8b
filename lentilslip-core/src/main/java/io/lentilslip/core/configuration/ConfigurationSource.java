package io.lentilslip.core.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.lentilslip.core.identity.Digest;

/**
 * Immutable files of a published configuration folder in the order in which they are
 * merged. Files are ordered by the UTF-8 bytes of their names, independent of the locale.
 * Each process parses and validates the files itself. Thread-safe.
 *
 * @param files the files in the order of their names
 */
public record ConfigurationSource(List<ConfigurationFile> files) {

	private static final Comparator<ConfigurationFile> BY_NAME_BYTES = Comparator
		.comparing((file) -> file.name().getBytes(StandardCharsets.UTF_8), Arrays::compareUnsigned);

	/**
	 * Creates a source.
	 * @param files the files in any order
	 * @throws IllegalArgumentException if two files have the same name
	 */
	public ConfigurationSource {
		files = files.stream().sorted(BY_NAME_BYTES).toList();
		Set<String> names = new HashSet<>();
		for (ConfigurationFile file : files) {
			if (!names.add(file.name())) {
				throw new IllegalArgumentException("duplicate file name: " + file.name());
			}
		}
	}

	/**
	 * Returns the digest of all names and contents. Two sources have the same digest only
	 * if they agree in every name and byte.
	 * @return the digest
	 */
	public Digest digest() {
		Digest digest = Digest.EMPTY;
		for (ConfigurationFile file : this.files) {
			digest = digest.then(file.digest());
		}
		return digest;
	}

	/**
	 * Returns the length of all files together.
	 * @return the number of bytes
	 */
	public long size() {
		return this.files.stream().mapToLong(ConfigurationFile::size).sum();
	}

}
