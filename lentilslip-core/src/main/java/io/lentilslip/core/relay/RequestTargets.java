package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks for which targets requests arrive and which of them upstreams have answered, to
 * tell a target that makes upstreams fail from an endpoint that many requests share.
 * Retries of a request count once. Bounded: the least recently used entries are evicted
 * first. Not thread-safe.
 */
final class RequestTargets {

	/**
	 * The number of requests on a route from which the share of a target is known.
	 */
	private static final int MIN_REQUESTS = 8;

	/**
	 * A target with more than this fraction of the requests of its route is an endpoint
	 * that they share.
	 */
	private static final int SHARED_DIVISOR = 2;

	/**
	 * The time after the last failure for which a target is refused. Ends the refusal of
	 * a harmless target that happened to be in flight at each failure.
	 */
	private static final Duration REFUSAL_TIME = Duration.ofSeconds(60);

	static final int MAX_ENTRIES = 4096;

	private final Map<Long, Boolean> requests = new RecentMap<>();

	private final Map<Long, Long> requestsByTarget = new RecentMap<>();

	private final Map<String, Long> requestsByRoute = new RecentMap<>();

	private final Map<Long, Boolean> answered = new RecentMap<>();

	private final Map<Long, Long> refusedSince = new RecentMap<>();

	/**
	 * Records that a request arrived.
	 * @param exchange the exchange of the request
	 */
	void recordRequest(Exchange exchange) {
		if (this.requests.put(exchange.digest(), true) == null) {
			this.requestsByTarget.merge(exchange.targetDigest(), 1L, Long::sum);
			this.requestsByRoute.merge(exchange.route().name(), 1L, Long::sum);
		}
	}

	/**
	 * Returns the number of the latest requests that are counted.
	 * @return the number
	 */
	int size() {
		return this.requests.size();
	}

	/**
	 * Records that an upstream answered a request.
	 * @param exchange the exchange of the request
	 */
	void recordAnswer(Exchange exchange) {
		this.answered.put(exchange.targetDigest(), true);
	}

	/**
	 * Records that an upstream failed under a target, at this relay or another one. If it
	 * is refused, the time starts again: one relay has tried it for all.
	 * @param target the digest of the target
	 * @param now the current time
	 */
	void recordFailure(long target, long now) {
		this.refusedSince.computeIfPresent(target, (digest, since) -> now);
	}

	/**
	 * Decides whether a target under which upstreams failed is refused: if no request for
	 * it is answered and others have most requests of its route.
	 * @param exchange the exchange of a request for the target
	 * @param now the current time
	 * @return the decision
	 */
	Decision decide(Exchange exchange, long now) {
		long onRoute = this.requestsByRoute.getOrDefault(exchange.route().name(), 0L);
		long forTarget = this.requestsByTarget.getOrDefault(exchange.targetDigest(), 0L);
		boolean shared = onRoute < MIN_REQUESTS || forTarget > onRoute / SHARED_DIVISOR;
		if (shared || this.answered.containsKey(exchange.targetDigest())) {
			return Decision.ADMIT;
		}
		long since = this.refusedSince.computeIfAbsent(exchange.targetDigest(), (target) -> now);
		if (now - since <= REFUSAL_TIME.toMillis()) {
			return Decision.REFUSE;
		}
		this.refusedSince.remove(exchange.targetDigest());
		return Decision.RETRY;
	}

	/**
	 * The decision on a target under which upstreams failed. Safe for use by several
	 * threads.
	 */
	enum Decision {

		/**
		 * Send requests for the target: it may be a shared endpoint.
		 */
		ADMIT,

		/**
		 * Refuse requests for the target.
		 */
		REFUSE,

		/**
		 * Send requests for the target, and refuse it again after another failure.
		 */
		RETRY

	}

	/**
	 * Map that evicts the least recently used entry. Not thread-safe.
	 *
	 * @param <K> the type of the keys
	 * @param <V> the type of the values
	 */
	private static final class RecentMap<K, V> extends LinkedHashMap<K, V> {

		RecentMap() {
			super(64, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
			return size() > MAX_ENTRIES;
		}

	}

}
