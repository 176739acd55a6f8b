package io.lentilslip.core.relay;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * Which requests upstreams broke off on. A request that did so on several lives of
 * upstreams is held to be the cause: it is not sent again, while requests beside it, each
 * with another content, go on. Bounded: the oldest are forgotten. Used by one thread.
 */
final class PoisonRequests {

	/**
	 * The broken lives after which a request is stopped: what the users' rules name as
	 * the bound.
	 */
	static final int LIMIT = 3;

	private static final int BOUND = 4096;

	private final LinkedHashMap<Long, Set<String>> lives = new LinkedHashMap<>();

	void recordFailure(long digest, String upstream) {
		this.lives.computeIfAbsent(digest, (key) -> new HashSet<>()).add(upstream);
		if (this.lives.size() > BOUND) {
			this.lives.pollFirstEntry();
		}
	}

	boolean isPoison(long digest) {
		return this.lives.getOrDefault(digest, Set.of()).size() >= LIMIT;
	}

}
