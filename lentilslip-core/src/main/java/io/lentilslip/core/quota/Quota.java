package io.lentilslip.core.quota;

/**
 * Immutable limit on the request rate of a team across all relays.
 *
 * @param ratePerSecond the sustained rate in requests per second; positive
 * @param burst the requests that may exceed the rate at once; not negative
 */
public record Quota(double ratePerSecond, double burst) {

	/**
	 * Creates a quota.
	 * @param ratePerSecond the sustained rate in requests per second; positive
	 * @param burst the requests that may exceed the rate at once; not negative
	 * @throws IllegalArgumentException if the rate is not positive or the burst is
	 * negative
	 */
	public Quota {
		if (!(ratePerSecond > 0) || !(burst >= 0)) {
			throw new IllegalArgumentException("quota of " + ratePerSecond + " a second with a burst of " + burst);
		}
	}

}
