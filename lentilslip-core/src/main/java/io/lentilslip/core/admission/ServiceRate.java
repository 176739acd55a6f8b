package io.lentilslip.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The recent rate at which waiting calls are served, by which a call whose deadline
 * cannot be met is refused when it comes. Only the times between services while calls
 * wait count: an idle queue says nothing of how fast it could be served. Immutable and
 * safe for use by several threads.
 *
 * @param lastService when a call was last served while others waited
 * @param meanIntervalSeconds the smoothed time between two services
 * @param intervals the number of times that were smoothed
 */
public record ServiceRate(Optional<Instant> lastService, double meanIntervalSeconds, int intervals) {

	/**
	 * The rate of a queue that was not measured yet.
	 */
	public static final ServiceRate UNKNOWN = new ServiceRate(Optional.empty(), 0, 0);

	private static final int MIN_INTERVALS = 16;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Returns the rate after a call was served.
	 * @param now the time
	 * @param stillWaiting the calls that wait after it
	 * @return the rate
	 */
	public ServiceRate served(Instant now, int stillWaiting) {
		ServiceRate measured = this.lastService.map((last) -> withInterval(Duration.between(last, now))).orElse(this);
		Optional<Instant> service = (stillWaiting > 0) ? Optional.of(now) : Optional.empty();
		return new ServiceRate(service, measured.meanIntervalSeconds, measured.intervals);
	}

	/**
	 * Returns whether a call that comes now can be served before its deadline. Until
	 * enough is measured the answer is yes, since a refusal on a guess would lose a call
	 * that could have run.
	 * @param now the time
	 * @param deadline the deadline of the call
	 * @param callsAhead the waiting calls that will be served before it
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
