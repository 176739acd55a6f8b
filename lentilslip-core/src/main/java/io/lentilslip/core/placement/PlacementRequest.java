package io.lentilslip.core.placement;

import java.util.List;
import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * What a placement has to go by, but for the candidates. Immutable and safe for use by
 * several threads.
 *
 * @param zone the availability zone of the entry that decides
 * @param cachedPrefixes the upstreams that are believed to have a prefix of the prompt in
 * their cache, longest prefix first
 * @param number the number of this decision among those of its entry
 * @param seed a random number for this decision
 * @param entryCount the entries that decide by the same reports, with this one
 */
public record PlacementRequest(ZoneName zone, List<CachedPrefix> cachedPrefixes, long number, long seed,
		int entryCount) {

	/**
	 * Creates a request.
	 * @param zone the availability zone of the entry that decides
	 * @param cachedPrefixes the upstreams that are believed to have a prefix of the
	 * prompt in their cache, longest prefix first
	 * @param number the number of this decision among those of its entry
	 * @param seed a random number for this decision
	 * @param entryCount the entries that decide by the same reports, with this one
	 * @throws IllegalArgumentException if nobody decides
	 */
	public PlacementRequest {
		Objects.requireNonNull(zone, "zone");
		cachedPrefixes = List.copyOf(cachedPrefixes);
		if (entryCount < 1) {
			throw new IllegalArgumentException("nobody decides: " + entryCount);
		}
	}

	/**
	 * A belief that an upstream has a prefix of the prompt in its cache. A wrong belief
	 * costs no more than computing the prefix.
	 *
	 * @param vm the VM of the upstream
	 * @param tokens the length of the prefix
	 */
	public record CachedPrefix(VmName vm, long tokens) {

	}

}
