package io.lentilslip.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Recent service rate of a queue, used to reject calls that cannot meet their deadlines.
 * Only intervals with waiting calls count, because an idle queue does not show its
 * service rate. Immutable and safe for use by several threads.
 *
 * @param lastService when a call was last served while others were waiting
 * @param meanIntervalSeconds the smoothed interval between services
 * @param intervals the number of smoothed intervals
 */
public record ServiceRate(Optional<Instant> lastService, double meanIntervalSeconds, int intervals) {

	/**
	 * Rate of a queue without measurements.
	 */
	public static final ServiceRate UNKNOWN = new ServiceRate(Optional.empty(), 0, 0);

	private static final int MIN_INTERVALS = 16;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Returns the rate updated after a call was served.
	 * @param now the time
	 * @param stillWaiting the number of calls still waiting
	 * @return the rate
	 */
	public ServiceRate served(Instant now, int stillWaiting) {
		ServiceRate measured = this.lastService.map((last) -> withInterval(Duration.between(last, now))).orElse(this);
		Optional<Instant> service = (stillWaiting > 0) ? Optional.of(now) : Optional.empty();
		return new ServiceRate(service, measured.meanIntervalSeconds, measured.intervals);
	}

	/**
	 * Returns whether a call that arrives now can be served before its deadline. Calls
	 * are not rejected until enough intervals are measured.
	 * @param now the time
	 * @param deadline the deadline of the call
	 * @param callsAhead the number of waiting calls that are served before it
	 * @return whether the deadline can be met
	 */
	public boolean canMeet(Instant now, Instant deadline, int callsAhead) {
		if (!deadline.isAfter(now)) {
			return false;
		}
		if (this.intervals < MIN_INTERVALS) {
			return true;
		}
		return callsAhead * this.meanIntervalSeconds <= seconds(Duration.between(now, deadline));
	}

	private ServiceRate withInterval(Duration interval) {
		int count = Math.min(this.intervals + 1, MIN_INTERVALS);
		double smoothed = this.meanIntervalSeconds + (seconds(interval) - this.meanIntervalSeconds) / count;
		return new ServiceRate(this.lastService, smoothed, count);
	}

	private static double seconds(Duration duration) {
		return duration.toSeconds() + duration.getNano() / NANOS_PER_SECOND;
	}

}
