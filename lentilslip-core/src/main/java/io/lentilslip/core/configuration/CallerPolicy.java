package io.lentilslip.core.configuration;

import java.util.Objects;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;

/**
 * Immutable policy of a caller and its group. Only the digest of the caller's key is
 * stored, so that a published configuration does not disclose the key. Thread-safe.
 *
 * @param name the caller
 * @param group the group the caller belongs to
 * @param keyDigest the SHA-256 digest of the caller's key
 */
public record CallerPolicy(PolicyName name, GroupName group, Digest keyDigest) {

	/**
	 * Creates the policy of a caller.
	 * @param name the caller
	 * @param group the group the caller belongs to
	 * @param keyDigest the SHA-256 digest of the caller's key
	 */
	public CallerPolicy {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(keyDigest, "keyDigest");
	}

}
