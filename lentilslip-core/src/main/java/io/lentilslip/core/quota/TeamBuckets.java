package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Token buckets of the teams that one relay coordinates. Grants of other coordinators are
 * unknown here, so a new bucket has only the initial permits and those accrued since the
 * last membership change. A failover coordinator that has not yet confirmed the failure
 * of the primary grants a small advance, a small fraction of the rate, and what the
 * primary has granted to cover the advance. Bounded: the least recently used team is
 * evicted first. Not thread-safe.
 */
public final class TeamBuckets {

	/**
	 * The maximum number of buckets.
	 */
	private static final int MAX_TEAMS = 4096;

	/**
	 * The idle time after which the bucket of a failover coordinator has an advance only.
	 */
	private static final Duration FAILOVER_IDLE_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * The fraction of the overshoot that an unconfirmed failover coordinator grants.
	 */
	private static final double UNCONFIRMED_RATE_FRACTION = 0.2;

	private static final double MILLIS_PER_SECOND = 1000;

	private final QuotaTolerance tolerance;

	private final Map<String, RoleBucket> buckets = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, RoleBucket> eldest) {
			return size() > MAX_TEAMS;
		}
	};

	private long membershipChangedAt;

	/**
	 * Creates an empty set of buckets.
	 * @param tolerance the bound on exceeding quotas
	 */
	public TeamBuckets(QuotaTolerance tolerance) {
		this.tolerance = tolerance;
	}

	/**
	 * Grants as many of the requested permits as are available.
	 * @param quota the quota of the team
	 * @param request the requested permits
	 * @param role the role of this relay for the team
	 * @param now milliseconds of a monotonic clock
	 * @return the granted permits
	 */
	public PermitReply grant(Quota quota, PermitRequest request, Role role, long now) {
		boolean primary = role == Role.PRIMARY;
		double unconfirmedRate = quota.ratePerSecond() * this.tolerance.overshoot() * UNCONFIRMED_RATE_FRACTION;
		RoleBucket current = this.buckets.get(request.team());
		if (current == null || current.primary() != primary) {
			double added = primary ? quota.ratePerSecond() * (now - this.membershipChangedAt) / MILLIS_PER_SECOND : 0;
			double initial = primary ? this.tolerance.initialPermits() + added : this.tolerance.advancePermits(quota);
			current = new RoleBucket(primary, new TeamBucket(this.tolerance, quota, initial, now));
			this.buckets.put(request.team(), current);
		}
		if (!primary && now - current.bucket().lastUsedAt() > FAILOVER_IDLE_TIMEOUT.toMillis()) {
			current.bucket().resumeIdle(quota, unconfirmedRate, now);
		}
		double ratePerSecond = quota.ratePerSecond();
		if (role == Role.UNCONFIRMED_FAILOVER) {
			current.bucket().limitToAdvance(quota);
			ratePerSecond = unconfirmedRate;
		}
		PermitReply reply = current.bucket().grant(quota, ratePerSecond, request, now);
		int requested = request.required() + request.newPrograms().size();
		for (int refused = reply.total(); refused < requested; refused++) {
			current.bucket().recordRefusal();
		}
		return reply;
	}

	/**
	 * Records that the coordinator that this relay replaces has granted the permits that
	 * this relay granted in its place.
	 * @param team the team
	 * @param permits the permits
	 */
	public void cover(String team, int permits) {
		RoleBucket current = this.buckets.get(team);
		if (current != null && !current.primary()) {
			current.bucket().cover(permits);
		}
	}

	/**
	 * Records a change of the membership, and discards the buckets of teams that this
	 * relay no longer coordinates first: if it does so again, another relay has granted
	 * permits in the meantime.
	 * @param isPrimary whether this relay is the first coordinator of a team
	 * @param now milliseconds of a monotonic clock
	 */
	public void membershipUpdated(Predicate<String> isPrimary, long now) {
		this.membershipChangedAt = now;
		this.buckets.entrySet().removeIf((entry) -> entry.getValue().primary() && !isPrimary.test(entry.getKey()));
	}

	/**
	 * Discards all buckets, after other relays may have coordinated the teams.
	 * @param now milliseconds of a monotonic clock
	 */
	public void reset(long now) {
		this.membershipChangedAt = now;
		this.buckets.clear();
	}

	/**
	 * Role of a relay for a team. Safe for use by several threads.
	 */
	public enum Role {

		/**
		 * The relay is the first coordinator of the team.
		 */
		PRIMARY,

		/**
		 * The relay has itself detected that the preceding coordinators don't respond.
		 */
		FAILOVER,

		/**
		 * Only another relay has reported that the preceding coordinators don't respond.
		 */
		UNCONFIRMED_FAILOVER

	}

	/**
	 * Bucket of a team, with the role in which it was created. Immutable except for the
	 * bucket.
	 *
	 * @param primary whether the bucket was created as the first coordinator
	 * @param bucket the bucket
	 */
	private record RoleBucket(boolean primary, TeamBucket bucket) {

	}

}
