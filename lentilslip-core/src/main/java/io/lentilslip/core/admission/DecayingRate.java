package io.lentilslip.core.admission;

import java.time.Duration;

/**
 * Rate of recent events, in which an event counts exponentially less with its age. Not
 * thread-safe.
 */
final class DecayingRate {

	private static final double MILLIS_PER_SECOND = 1000;

	private final double decayMillis;

	private double count;

	private long countedAt;

	/**
	 * Creates a rate of zero.
	 * @param decay the time in which the weight of an event decays by a factor of e
	 */
	DecayingRate(Duration decay) {
		this.decayMillis = decay.toMillis();
	}

	void add(long now) {
		this.count = count(now) + 1;
		this.countedAt = now;
	}

	double perSecond(long now) {
		return count(now) * MILLIS_PER_SECOND / this.decayMillis;
	}

	private double count(long now) {
		return this.count * Math.exp((this.countedAt - now) / this.decayMillis);
	}

}
