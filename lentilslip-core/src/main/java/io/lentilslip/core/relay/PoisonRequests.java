package io.lentilslip.core.relay;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * Tracks requests on which upstreams failed. A request that failed on several
 * incarnations is treated as the cause and not sent again; other requests that were in
 * flight at the same time are not affected. Bounded: the oldest requests are evicted
 * first. Not thread-safe.
 */
final class PoisonRequests {

	/**
	 * The number of failed incarnations after which a request is no longer sent.
	 */
	static final int MAX_FAILED_INCARNATIONS = 3;

	private static final int MAX_REQUESTS = 4096;

	private final LinkedHashMap<Long, Set<String>> failedIncarnations = new LinkedHashMap<>();

	void recordFailure(long digest, String upstream) {
		this.failedIncarnations.computeIfAbsent(digest, (key) -> new HashSet<>()).add(upstream);
		if (this.failedIncarnations.size() > MAX_REQUESTS) {
			this.failedIncarnations.pollFirstEntry();
		}
	}

	boolean isPoison(long digest) {
		return this.failedIncarnations.getOrDefault(digest, Set.of()).size() >= MAX_FAILED_INCARNATIONS;
	}

}
