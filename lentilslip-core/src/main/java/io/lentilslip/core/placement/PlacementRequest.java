package io.lentilslip.core.placement;

import java.util.List;
import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * Inputs of a placement decision besides the candidates. Immutable and safe for use by
 * several threads.
 *
 * @param zone the availability zone of the deciding entry
 * @param cachedPrefixes the upstreams expected to have a prefix of the prompt in their
 * cache, longest prefix first
 * @param number the sequence number of the decision within its entry
 * @param seed a random seed for the decision
 * @param entryCount the number of entries that decide by the same load reports, including
 * this one
 */
public record PlacementRequest(ZoneName zone, List<CachedPrefix> cachedPrefixes, long number, long seed,
		int entryCount) {

	/**
	 * Creates a request.
	 * @param zone the availability zone of the deciding entry
	 * @param cachedPrefixes the upstreams expected to have a prefix of the prompt in
	 * their cache, longest prefix first
	 * @param number the sequence number of the decision within its entry
	 * @param seed a random seed for the decision
	 * @param entryCount the number of entries that decide by the same load reports,
	 * including this one
	 * @throws IllegalArgumentException if the entry count is not positive
	 */
	public PlacementRequest {
		Objects.requireNonNull(zone, "zone");
		cachedPrefixes = List.copyOf(cachedPrefixes);
		if (entryCount < 1) {
			throw new IllegalArgumentException("entry count must be positive, not " + entryCount);
		}
	}

	/**
	 * Expectation that an upstream has a prefix of the prompt in its cache. If it is
	 * wrong, the upstream only has to compute the prefix.
	 *
	 * @param vm the VM of the upstream
	 * @param tokens the length of the prefix
	 */
	public record CachedPrefix(VmName vm, long tokens) {

	}

}
