package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of the streams that callers may still resume, whichever relay
 * started them. An attempt that was read from the log may not be the last one: its relay
 * may have retried at another version since. It is final if this relay sent it or has it
 * from the relay that did, or once the log was read to its end after the first event.
 * Bounded in number and age. Used by one thread.
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
	 * Records an attempt of another relay. Attempts may be recorded in any order.
	 * @param run the run that it belongs to
	 * @param attempt the attempt
	 * @param now the current time
	 * @param retention for how long callers may resume a stream
	 */
	void record(RunId run, StreamAttempt attempt, long now, Duration retention) {
		record(run, attempt, false, now, retention);
	}

	/**
	 * Records an attempt after which there is none at another version, except of this
	 * relay.
	 * @param run the run that it belongs to
	 * @param attempt the attempt
	 * @param now the current time
	 * @param retention for how long callers may resume a stream
	 */
	void recordFinal(RunId run, StreamAttempt attempt, long now, Duration retention) {
		record(run, attempt, true, now, retention);
	}

	private void record(RunId run, StreamAttempt attempt, boolean last, long now, Duration retention) {
		removeExpired(now - retention.toMillis());
		KnownAttempt known = this.byRequest.get(run.request());
		if (known != null && !known.isSupersededBy(run, attempt)) {
			if (last && known.run == run.number() && attempt.number() == known.attempt().number()) {
				known.last = true;
			}
			return;
		}
		boolean sameVersion = known != null && known.last && known.run == run.number()
				&& known.attempt().version().equals(attempt.version());
		this.byRequest.remove(run.request());
		this.byRequest.put(run.request(), new KnownAttempt(run.number(),
				this.shared.computeIfAbsent(attempt, (key) -> key), now, last || sameVersion));
		if (this.byRequest.size() > MAX_STREAMS) {
			this.byRequest.remove(this.byRequest.keySet().iterator().next());
		}
	}

	/**
	 * Records that the log was read to its end after the first event of a stream.
	 * @param request the request that started it
	 */
	void markFinal(String request) {
		KnownAttempt known = this.byRequest.get(request);
		if (known != null) {
			known.last = true;
		}
	}

	/**
	 * Finds the last attempt of a stream, if it is certain to be the last one. An attempt
	 * is retried before its timeout only.
	 * @param request the request that started it
	 * @param logReadAt when the last read that reached the end of the log was sent
	 * @param timeout the longest time for which an attempt may be retried
	 * @return the attempt, or empty if it is unknown or there may be a later one
	 */
	Optional<StreamAttempt> findFinal(String request, long logReadAt, Duration timeout) {
		return Optional.ofNullable(this.byRequest.get(request))
			.filter((known) -> known.last || logReadAt - timeout.toMillis() >= known.recordedAt())
			.map(KnownAttempt::attempt);
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

	/**
	 * Returns the last known run of a request.
	 * @param request the request
	 * @return the run, or empty if none is known
	 */
	Optional<RunId> lastRun(String request) {
		return Optional.ofNullable(this.byRequest.get(request)).map((known) -> new RunId(request, known.run));
	}

	int size() {
		return this.byRequest.size();
	}

	/**
	 * An attempt with the time at which it was recorded. Used by one thread.
	 */
	private static final class KnownAttempt {

		private final long run;

		private final StreamAttempt attempt;

		private final long recordedAt;

		private boolean last;

		KnownAttempt(long run, StreamAttempt attempt, long recordedAt, boolean last) {
			this.run = run;
			this.attempt = attempt;
			this.recordedAt = recordedAt;
			this.last = last;
		}

		// The caller has the events of the last run of its request.
		boolean isSupersededBy(RunId nextRun, StreamAttempt next) {
			return nextRun.number() > this.run || (nextRun.number() == this.run && next.supersedes(this.attempt));
		}

		StreamAttempt attempt() {
			return this.attempt;
		}

		long recordedAt() {
			return this.recordedAt;
		}

	}

}
