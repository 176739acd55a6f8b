package io.lentilslip.wire.configuration;

import java.util.Objects;
import java.util.UUID;

import io.lentilslip.core.configuration.ConfigurationSource;

/**
 * A configuration as operators publish it. Its version is the offset of its record in the
 * log, so the record itself holds only the version that the operator began from. The
 * publication's identity lets an operator's command that lost the answer to its append
 * find its own record again instead of publishing twice. Immutable and safe for use by
 * several threads.
 *
 * @param baseVersion the version that the operator began from, or
 * {@link #NO_BASE_VERSION}
 * @param publicationId a random identity that is drawn once for each publication
 * @param files the files
 */
public record PublishedConfiguration(long baseVersion, UUID publicationId, ConfigurationSource files) {

	/**
	 * The base version of the first configuration.
	 */
	public static final long NO_BASE_VERSION = -1;

	/**
	 * Creates a published configuration.
	 * @param baseVersion the version that the operator began from, or
	 * {@link #NO_BASE_VERSION}
	 * @param publicationId a random identity that is drawn once for each publication
	 * @param files the files
	 * @throws IllegalArgumentException if the base version is negative without being
	 * {@link #NO_BASE_VERSION}
	 */
	public PublishedConfiguration {
		Objects.requireNonNull(publicationId, "publicationId");
		Objects.requireNonNull(files, "files");
		if (baseVersion < NO_BASE_VERSION) {
			throw new IllegalArgumentException("not a version: " + baseVersion);
		}
	}

}
