package io.lentilslip.core.quota;

import java.time.Duration;

/**
 * Immutable bound on how far a quota may be exceeded: any sliding window admits at most
 * (rate x window + burst) x (1 + overshoot) + slack requests.
 *
 * @param window the length of the sliding window
 * @param overshoot the fraction by which a limit may be exceeded
 * @param slack the requests by which a limit may be exceeded in addition
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {

	/**
	 * The fraction of the slack by which a team's bucket is larger than the burst of its
	 * quota.
	 */
	private static final double CAPACITY_FRACTION = 0.5;

	/**
	 * The fraction of the slack available to prefetched permits.
	 */
	private static final double PREFETCH_SLACK_FRACTION = 0.25;

	/**
	 * The fraction of the overshoot available to prefetched permits.
	 */
	private static final double PREFETCH_OVERSHOOT_FRACTION = 0.6;

	/**
	 * The fraction of the slack that a new coordinator has as its initial permits. The
	 * coordinator may change twice in one window within the tolerance, in addition to the
	 * permits of the previous coordinator.
	 */
	private static final double INITIAL_FRACTION = 0.125;

	/**
	 * The fraction of the overshoot that a failover coordinator may grant before the
	 * preceding coordinator has granted the same permits, in addition to the initial
	 * permits.
	 */
	private static final double ADVANCE_OVERSHOOT_FRACTION = 0.2;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Returns the default tolerance.
	 * @return the tolerance
	 */
	public static QuotaTolerance standard() {
		return new QuotaTolerance(Duration.ofSeconds(5), 0.1, 20);
	}

	/**
	 * Returns the capacity of a bucket.
	 * @param quota the quota
	 * @return the permits of a full bucket
	 */
	double capacity(Quota quota) {
		return Math.max(1, quota.burst() + CAPACITY_FRACTION * this.slack);
	}

	/**
	 * Returns the maximum number of outstanding prefetched permits.
	 * @param quota the quota
	 * @return the permits at all relays
	 */
	double maxPrefetched(Quota quota) {
		return PREFETCH_SLACK_FRACTION * this.slack
				+ PREFETCH_OVERSHOOT_FRACTION * this.overshoot * nominalWindowLimit(quota);
	}

	/**
	 * Returns the initial permits of a new coordinator, which doesn't know how many the
	 * previous one has granted.
	 * @return the permits
	 */
	double initialPermits() {
		return Math.max(1, INITIAL_FRACTION * this.slack);
	}

	/**
	 * Returns the permits that a failover coordinator may grant in advance of the
	 * coordinator that it replaces.
	 * @param quota the quota
	 * @return the permits
	 */
	double advancePermits(Quota quota) {
		return initialPermits() + ADVANCE_OVERSHOOT_FRACTION * this.overshoot * nominalWindowLimit(quota);
	}

	private double nominalWindowLimit(Quota quota) {
		return quota.ratePerSecond() * this.window.toMillis() / MILLIS_PER_SECOND + quota.burst();
	}

	/**
	 * Returns the maximum number of requests in any window.
	 * @param quota the quota
	 * @return the maximum
	 */
	public double windowLimit(Quota quota) {
		return nominalWindowLimit(quota) * (1 + this.overshoot) + this.slack;
	}

}
