package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Token bucket of one team at its coordinator, with the programs that were admitted.
 * Active programs have priority over new ones, so that a team over its quota completes
 * some programs instead of parts of all. Prefetched permits are bounded, because they can
 * be used in a later window in addition to the permits granted in it. Not thread-safe.
 */
final class TeamBucket {

	/**
	 * The time for which a program is active after its last request.
	 */
	private static final long ACTIVE_TIMEOUT_MS = 1000;

	/**
	 * The runtime that is assumed for a program at its first request.
	 */
	private static final long INITIAL_RUNTIME_MS = 500;

	/**
	 * The time in which active programs may use up the level of the bucket.
	 */
	private static final double LEVEL_SPEND_SECONDS = 3;

	/**
	 * The maximum number of remembered programs.
	 */
	private static final int MAX_PROGRAMS = 1024;

	/**
	 * The minimum retry delay given to callers.
	 */
	private static final long MIN_RETRY_AFTER_MS = 100;

	/**
	 * The maximum retry delay given to callers.
	 */
	private static final long MAX_RETRY_AFTER_MS = 5000;

	private static final double MILLIS_PER_SECOND = 1000;

	private final QuotaTolerance tolerance;

	private final Map<Integer, ProgramUsage> programs = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, ProgramUsage> eldest) {
			return size() > MAX_PROGRAMS;
		}
	};

	private final Deque<PrefetchedPermits> prefetched = new ArrayDeque<>();

	private Quota quota;

	private double level;

	private double outstanding;

	private double expectedRetries;

	private long updatedAt;

	TeamBucket(QuotaTolerance tolerance, Quota quota, double level, long now) {
		this.tolerance = tolerance;
		this.quota = quota;
		this.level = Math.min(level, tolerance.capacity(quota));
		this.updatedAt = now;
	}

	/**
	 * Grants as many of the requested permits as are available.
	 * @param current the active quota
	 * @param ratePerSecond the rate of added permits, which may be less than that of the
	 * quota
	 * @param request the requested permits
	 * @param now milliseconds of a monotonic clock
	 * @return the granted permits
	 */
	PermitReply grant(Quota current, double ratePerSecond, PermitRequest request, long now) {
		refill(current, ratePerSecond, now);
		refund(request.expired());
		int granted = 0;
		for (int program : request.activePrograms()) {
			usage(program, now).lastSeenAt = now;
		}
		while (granted < request.required() && tryAcquire()) {
			granted++;
		}
		recordGranted(request.activePrograms(), granted);
		boolean[] admitted = new boolean[request.newPrograms().size()];
		for (int i = 0; i < admitted.length; i++) {
			admitted[i] = admit(request.newPrograms().get(i), now);
		}
		int extra = (granted == request.required()) ? grantPrefetch(request.prefetch(), now) : 0;
		return new PermitReply(request.team(), request.requestId(), granted + extra, PermitReply.admissions(admitted),
				retryAfter(now));
	}

	private void refund(int permits) {
		this.level = Math.min(this.tolerance.capacity(this.quota), this.level + permits);
	}

	/**
	 * Returns the time of the team's last request for permits.
	 * @return milliseconds of a monotonic clock
	 */
	long lastUsedAt() {
		return this.updatedAt;
	}

	/**
	 * Adds permits that the replaced coordinator granted.
	 * @param permits the permits
	 */
	void cover(int permits) {
		double max = this.tolerance.advancePermits(this.quota);
		this.level = Math.max(this.level, Math.min(max, this.level + permits));
	}

	/**
	 * Limits the level to the permits that may be granted in advance of the replaced
	 * coordinator.
	 * @param current the active quota
	 */
	void limitToAdvance(Quota current) {
		this.level = Math.min(this.tolerance.advancePermits(current), this.level);
	}

	/**
	 * Continues after a time in which another relay has probably coordinated the team.
	 * @param current the active quota
	 * @param ratePerSecond the rate of added permits during that time
	 * @param now milliseconds of a monotonic clock
	 */
	void resumeIdle(Quota current, double ratePerSecond, long now) {
		this.level += ratePerSecond * (now - this.updatedAt) / MILLIS_PER_SECOND;
		limitToAdvance(current);
		this.updatedAt = now;
	}

	private void refill(Quota current, double ratePerSecond, long now) {
		this.quota = current;
		double added = ratePerSecond * Math.max(0, now - this.updatedAt) / MILLIS_PER_SECOND;
		this.level = Math.min(this.tolerance.capacity(current), this.level + added);
		this.expectedRetries = Math.max(0, this.expectedRetries - added);
		this.updatedAt = now;
		while (!this.prefetched.isEmpty() && this.prefetched.peekFirst().expiresAt() <= now) {
			this.outstanding -= this.prefetched.pollFirst().permits();
		}
	}

	private boolean tryAcquire() {
		if (this.level < 1) {
			return false;
		}
		this.level--;
		return true;
	}

	private boolean admit(int program, long now) {
		if (!this.programs.containsKey(program) && !hasCapacityForNewProgram(now)) {
			return false;
		}
		if (!tryAcquire()) {
			return false;
		}
		usage(program, now).granted++;
		return true;
	}

	// Assumes that active programs continue at their average rate so far.
	private boolean hasCapacityForNewProgram(long now) {
		int active = 0;
		double granted = 0;
		double elapsed = 0;
		for (ProgramUsage next : this.programs.values()) {
			if (now - next.lastSeenAt <= ACTIVE_TIMEOUT_MS) {
				active++;
				granted += next.granted;
				elapsed += now - next.firstSeenAt + INITIAL_RUNTIME_MS;
			}
		}
		if (active == 0) {
			return true;
		}
		double each = granted * MILLIS_PER_SECOND / elapsed;
		return active * each < this.quota.ratePerSecond() + this.level / LEVEL_SPEND_SECONDS;
	}

	private ProgramUsage usage(int program, long now) {
		ProgramUsage usage = this.programs.computeIfAbsent(program, (key) -> new ProgramUsage(now));
		usage.lastSeenAt = now;
		return usage;
	}

	private void recordGranted(Iterable<Integer> activePrograms, int granted) {
		Iterator<Integer> next = activePrograms.iterator();
		for (int i = 0; i < granted && next.hasNext(); i++) {
			ProgramUsage usage = this.programs.get(next.next());
			if (usage != null) {
				usage.granted++;
			}
		}
	}

	private int grantPrefetch(int requested, long now) {
		double spare = Math.min(this.level - this.tolerance.capacity(this.quota) / 2,
				this.tolerance.maxPrefetched(this.quota) - this.outstanding);
		int granted = (int) Math.max(0, Math.min(requested, spare));
		if (granted > 0) {
			this.level -= granted;
			this.outstanding += granted;
			this.prefetched.addLast(new PrefetchedPermits(granted, now + Permits.EXPIRY.toMillis()));
		}
		return granted;
	}

	// Spreads retries: each rejected caller is scheduled after those rejected before it.
	private Duration retryAfter(long now) {
		double missing = Math.max(0, 1 - this.level) + this.expectedRetries;
		long wait = Math.round(missing / this.quota.ratePerSecond() * MILLIS_PER_SECOND);
		return Duration.ofMillis(Math.clamp(wait, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
	}

	/**
	 * Records a rejected caller, which is expected to retry.
	 */
	void recordRefusal() {
		this.expectedRetries = Math.min(this.expectedRetries + 1,
				this.quota.ratePerSecond() * MAX_RETRY_AFTER_MS / MILLIS_PER_SECOND);
	}

	/**
	 * Permits granted to a program. Not thread-safe.
	 */
	private static final class ProgramUsage {

		private final long firstSeenAt;

		private long lastSeenAt;

		private int granted;

		ProgramUsage(long now) {
			this.firstSeenAt = now;
			this.lastSeenAt = now;
		}

	}

	/**
	 * Immutable count of prefetched permits with their expiry.
	 *
	 * @param permits the number of permits
	 * @param expiresAt the time at which they expire, in milliseconds of a monotonic
	 * clock
	 */
	private record PrefetchedPermits(int permits, long expiresAt) {

	}

}
