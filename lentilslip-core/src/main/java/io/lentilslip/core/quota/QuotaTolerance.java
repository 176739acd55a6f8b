package io.lentilslip.core.quota;

import java.time.Duration;

/**
 * Immutable bound on how far a quota may be passed: in any span of the window no more
 * requests than (rate x window + burst) x (1 + over) + slack are run.
 *
 * @param window the length of the sliding window
 * @param overshoot the share by which a limit may be passed
 * @param slack the requests by which a limit may be passed besides
 */
public record QuotaTolerance(Duration window, double overshoot, double slack) {

	/**
	 * The part of the slack by which the bucket that counts for a team is larger than the
	 * burst of its quota.
	 */
	private static final double CAPACITY_PART = 0.5;

	/**
	 * The part of the slack that permits granted ahead of need may take.
	 */
	private static final double AHEAD_PART = 0.25;

	/**
	 * The part of the share over the limit that permits granted ahead of need may take.
	 */
	private static final double AHEAD_OVER_PART = 0.8;

	/**
	 * The part of the slack with which a relay begins to count for a team. Two such
	 * beginnings fit in a window beside what the relay before has granted.
	 */
	private static final double BEGINNING_PART = 0.125;

	private static final double MILLISECONDS_OF_SECOND = 1000;

	/**
	 * Returns the tolerance of a site that sets none.
	 * @return the tolerance
	 */
	public static QuotaTolerance standard() {
		return new QuotaTolerance(Duration.ofSeconds(5), 0.1, 20);
	}

	/**
	 * Returns how many permits may be left unspent at once.
	 * @param quota the quota
	 * @return the permits of a full bucket
	 */
	double capacity(Quota quota) {
		return Math.max(1, quota.burst() + CAPACITY_PART * this.slack);
	}

	/**
	 * Returns how many permits that were granted ahead of need may be outstanding.
	 * @param quota the quota
	 * @return the permits over all relays
	 */
	double maxPrefetched(Quota quota) {
		return AHEAD_PART * this.slack + AHEAD_OVER_PART * this.overshoot * limit(quota);
	}

	/**
	 * Returns how many permits a relay has that begins to count for a team. What was
	 * granted before, it can't know.
	 * @return the permits
	 */
	double initialPermits() {
		return Math.max(1, BEGINNING_PART * this.slack);
	}

	private double limit(Quota quota) {
		return quota.ratePerSecond() * this.window.toMillis() / MILLISECONDS_OF_SECOND + quota.burst();
	}

	/**
	 * Returns how many requests any window may run.
	 * @param quota the quota
	 * @return the requests
	 */
	public double bound(Quota quota) {
		return limit(quota) * (1 + this.overshoot) + this.slack;
	}

}
