package io.lentilslip.core.admission;

import java.time.Duration;

/**
 * Immutable estimate of the room of a service. Its upstreams run as many requests
 * concurrently as they have places; further ones wait there in order of arrival. Safe for
 * use by several threads.
 *
 * @param places the number of places of all upstreams, reduced for upstreams that are
 * slower than usual; not negative
 * @param requests the number of running and waiting requests; not negative
 * @param holdTime the mean time for which a request holds a place
 */
public record ServiceRoom(double places, int requests, Duration holdTime) {

	/**
	 * Returns the time that a request which arrives now is expected to wait for a place.
	 * It is zero while there are free places, however unevenly the requests are placed.
	 * @return the time
	 */
	public Duration expectedWait() {
		if (this.places <= 0 || this.requests <= this.places) {
			return Duration.ZERO;
		}
		double excess = this.requests / this.places - 1;
		return Duration.ofMillis(Math.round(excess * this.holdTime.toMillis()));
	}

}
