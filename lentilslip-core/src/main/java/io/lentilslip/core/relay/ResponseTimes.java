package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The times from the receipt of a request to the end of its response, by route: a moving
 * average and the mean deviation from it. Bounded by the number of routes. Used by one
 * thread.
 */
final class ResponseTimes {

	private static final double MEAN_GAIN = 1.0 / 8;

	private static final double DEVIATION_GAIN = 1.0 / 4;

	/**
	 * The number of mean deviations above the mean within which most responses end.
	 */
	private static final int USUAL_DEVIATIONS = 2;

	private final Map<String, Estimate> estimates = new HashMap<>();

	void record(String route, Duration time) {
		this.estimates.merge(route, new Estimate(time.toMillis(), 0), (known, first) -> known.with(time.toMillis()));
	}

	/**
	 * Returns the time within which most responses of a route end.
	 * @param route the name of the route
	 * @return the time, or empty if none has ended
	 */
	Optional<Duration> usual(String route) {
		return Optional.ofNullable(this.estimates.get(route))
			.map((estimate) -> Duration
				.ofMillis(Math.round(estimate.mean() + USUAL_DEVIATIONS * estimate.deviation())));
	}

	void retain(Set<String> routes) {
		this.estimates.keySet().retainAll(routes);
	}

	/**
	 * An estimate. Immutable.
	 *
	 * @param mean the average, in milliseconds
	 * @param deviation the mean deviation, in milliseconds
	 */
	private record Estimate(double mean, double deviation) {

		Estimate with(double time) {
			double error = time - this.mean;
			return new Estimate(this.mean + MEAN_GAIN * error,
					this.deviation + DEVIATION_GAIN * (Math.abs(error) - this.deviation));
		}

	}

}
