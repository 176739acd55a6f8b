package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of the streams that callers may still resume, whichever relay
 * started them. Bounded in number and age. Used by one thread.
 */
final class StreamVersions {

	/**
	 * The maximum number of streams, those of several seconds at a large site.
	 */
	static final int MAX_STREAMS = 50_000;

	/**
	 * The maximum number of equal attempts that share an instance.
	 */
	private static final int MAX_SHARED = 64;

	private final Map<String, KnownAttempt> byRequest = new LinkedHashMap<>();

	private final Map<StreamAttempt, StreamAttempt> shared = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<StreamAttempt, StreamAttempt> eldest) {
			return size() > MAX_SHARED;
		}
	};

	/**
	 * Records an attempt. Attempts may be recorded in any order.
	 * @param request the request that it belongs to
	 * @param attempt the attempt
	 * @param now the current time
	 * @param retention for how long callers may resume a stream
	 */
	void record(String request, StreamAttempt attempt, long now, Duration retention) {
		removeExpired(now - retention.toMillis());
		KnownAttempt known = this.byRequest.get(request);
		if (known != null && !attempt.supersedes(known.attempt())) {
			return;
		}
		this.byRequest.remove(request);
		this.byRequest.put(request, new KnownAttempt(this.shared.computeIfAbsent(attempt, (key) -> key), now));
		if (this.byRequest.size() > MAX_STREAMS) {
			this.byRequest.remove(this.byRequest.keySet().iterator().next());
		}
	}

	private void removeExpired(long before) {
		while (!this.byRequest.isEmpty()) {
			Map.Entry<String, KnownAttempt> oldest = this.byRequest.entrySet().iterator().next();
			if (oldest.getValue().recordedAt() >= before) {
				return;
			}
			this.byRequest.remove(oldest.getKey());
		}
	}

	Optional<StreamAttempt> find(String request) {
		return Optional.ofNullable(this.byRequest.get(request)).map(KnownAttempt::attempt);
	}

	int size() {
		return this.byRequest.size();
	}

	/**
	 * Immutable attempt with the time at which it was recorded.
	 *
	 * @param attempt the attempt
	 * @param recordedAt milliseconds of a monotonic clock
	 */
	private record KnownAttempt(StreamAttempt attempt, long recordedAt) {

	}

}
