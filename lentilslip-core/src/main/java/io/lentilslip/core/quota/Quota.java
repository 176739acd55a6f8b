package io.lentilslip.core.quota;

/**
 * Immutable limit on the requests that a team may have run over all relays.
 *
 * @param ratePerSecond the requests a second that may be run on end; positive
 * @param burst the requests that may be run beyond that at once; not negative
 */
public record Quota(double ratePerSecond, double burst) {

	/**
	 * Creates a quota.
	 * @param ratePerSecond the requests a second that may be run on end; positive
	 * @param burst the requests that may be run beyond that at once; not negative
	 * @throws IllegalArgumentException if the rate is not positive or the burst is
	 * negative
	 */
	public Quota {
		if (!(ratePerSecond > 0) || !(burst >= 0)) {
			throw new IllegalArgumentException("quota of " + ratePerSecond + " a second with a burst of " + burst);
		}
	}

}
