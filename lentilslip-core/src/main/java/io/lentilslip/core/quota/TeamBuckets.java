package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The permits of the teams that one relay counts for. What another relay granted before
 * is not known here, so a team that is new has few permits at first, and what its rate
 * has added since the relays last changed. A relay that stands in for another one may be
 * mistaken about its loss: it grants a small part of the rate until it has seen the loss
 * itself. Bounded: the team that asked longest ago is forgotten first. Used by one
 * thread.
 */
public final class TeamBuckets {

	/**
	 * The most teams that are counted for.
	 */
	private static final int TEAMS = 4096;

	/**
	 * After what time without a request a relay that stood in for another one takes that
	 * it has ended.
	 */
	private static final Duration STAND_IN_END = Duration.ofSeconds(1);

	/**
	 * The part of the share over the limit that a relay grants that stands in for one
	 * that may live.
	 */
	private static final double DOUBTFUL_PART = 0.5;

	private static final double MILLISECONDS_OF_SECOND = 1000;

	private final QuotaTolerance tolerance;

	private final Map<String, Counted> buckets = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Counted> eldest) {
			return size() > TEAMS;
		}
	};

	private long changedAt;

	/**
	 * Creates buckets for no team yet.
	 * @param tolerance how far quotas may be passed
	 */
	public TeamBuckets(QuotaTolerance tolerance) {
		this.tolerance = tolerance;
	}

	/**
	 * Grants permits as far as there are any.
	 * @param quota the quota of the team
	 * @param ask what is asked for
	 * @param standing in which standing this relay counts for the team
	 * @param now milliseconds of a steady clock
	 * @return what is granted
	 */
	public PermitReply grant(Quota quota, PermitRequest ask, Standing standing, long now) {
		boolean first = standing == Standing.FIRST;
		Counted counted = this.buckets.get(ask.team());
		boolean ended = counted != null && !first && now - counted.bucket().usedAt() > STAND_IN_END.toMillis();
		if (counted == null || counted.first() != first || ended) {
			double added = first ? quota.ratePerSecond() * (now - this.changedAt) / MILLISECONDS_OF_SECOND : 0;
			counted = new Counted(first,
					new TeamBucket(this.tolerance, quota, this.tolerance.initialPermits() + added, now));
			this.buckets.put(ask.team(), counted);
		}
		Quota granted = (standing == Standing.DOUBTFUL)
				? new Quota(quota.ratePerSecond() * this.tolerance.overshoot() * DOUBTFUL_PART, quota.burst()) : quota;
		PermitReply reply = counted.bucket().grant(granted, ask, now);
		int asked = ask.required() + ask.newPrograms().size();
		for (int refused = reply.total(); refused < asked; refused++) {
			counted.bucket().refused();
		}
		return reply;
	}

	/**
	 * Takes that the relays have changed.
	 * @param now milliseconds of a steady clock
	 */
	public void relaysChanged(long now) {
		this.changedAt = now;
	}

	/**
	 * Forgets all that was counted: others have counted meanwhile.
	 * @param now milliseconds of a steady clock
	 */
	public void forget(long now) {
		this.changedAt = now;
		this.buckets.clear();
	}

	/**
	 * In which standing a relay counts for a team. Safe for use by several threads.
	 */
	public enum Standing {

		/**
		 * It is the first of the team's relays.
		 */
		FIRST,

		/**
		 * It has seen that the relays before it don't answer.
		 */
		STAND_IN,

		/**
		 * Another relay says that those before it don't answer.
		 */
		DOUBTFUL

	}

	/**
	 * The bucket of a team. Immutable but for the bucket.
	 *
	 * @param first whether this relay was the first of the team's relays
	 * @param bucket the bucket
	 */
	private record Counted(boolean first, TeamBucket bucket) {

	}

}
