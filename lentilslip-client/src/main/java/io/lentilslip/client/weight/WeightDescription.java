package io.lentilslip.client.weight;

import java.util.Objects;

import io.lentilslip.core.identity.Digest;

/**
 * What the weight store holds for a version. Immutable and safe for use by several
 * threads.
 *
 * @param version the version
 * @param size the number of bytes
 * @param digest the digest of the bytes
 */
public record WeightDescription(WeightVersion version, long size, Digest digest) {

	/**
	 * Creates a description.
	 * @param version the version
	 * @param size the number of bytes
	 * @param digest the digest of the bytes
	 * @throws IllegalArgumentException if the size is negative
	 */
	public WeightDescription {
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(digest, "digest");
		if (size < 0) {
			throw new IllegalArgumentException("size is negative: " + size);
		}
	}

}
