package io.lentilslip.core.admission;

import java.time.Duration;

/**
 * Immutable range of waits at the upstreams of a service. Below it all programs are
 * admitted, and above it fewer than before, so that the wait settles within it. Safe for
 * use by several threads.
 *
 * @param begin the longest wait at which all programs are admitted
 * @param end the shortest wait at which none is admitted unless programs were admitted
 * lately; longer than {@code begin}
 */
public record WaitTolerance(Duration begin, Duration end) {

	/**
	 * A wait that a caller hardly notices in the time to a first event.
	 */
	private static final int BEGIN_DIVISOR = 16;

	/**
	 * The other half of the time to the first event is needed for the prompt.
	 */
	private static final int END_DIVISOR = 2;

	/**
	 * The fraction that is admitted at the shortest wait of the range whatever was
	 * admitted before, so that a relay that has just started gets its part.
	 */
	private static final double MIN_FRACTION = 0.5;

	/**
	 * How many times the aim a wait has to be off for the rate to change by all of
	 * itself.
	 */
	private static final double SLOPE = 3;

	private static final double MIN_CORRECTION = 0.6;

	private static final double MAX_CORRECTION = 1.2;

	/**
	 * Returns the tolerance of callers that expect a first event in time.
	 * @param latencyTarget the time within which a first event is on time
	 * @return the tolerance
	 */
	public static WaitTolerance of(Duration latencyTarget) {
		return new WaitTolerance(latencyTarget.dividedBy(BEGIN_DIVISOR), latencyTarget.dividedBy(END_DIVISOR));
	}

	/**
	 * Returns the fraction of new programs to admit. Programs need room long after they
	 * were admitted, so a wait answers late to what is admitted. The fraction therefore
	 * continues the rate that was admitted lately, corrected by the wait, and does not
	 * depend on the wait alone.
	 * @param wait the expected wait
	 * @param admittedRate the rate of the programs that were admitted lately
	 * @param arrivalRate the rate of the programs that arrive
	 * @return the fraction, from 0 to 1
	 */
	double admittedFraction(Duration wait, double admittedRate, double arrivalRate) {
		if (wait.compareTo(this.begin) <= 0) {
			return 1;
		}
		double range = this.end.minus(this.begin).toMillis();
		double minimum = MIN_FRACTION * Math.max(0, 1 - wait.minus(this.begin).toMillis() / range);
		double sustained = admittedRate * correction(wait);
		return (sustained >= arrivalRate && sustained > 0) ? 1
				: Math.max(minimum, sustained / Math.max(1, arrivalRate));
	}

	// Approaches the middle of the range.
	private double correction(Duration wait) {
		double aim = this.begin.plus(this.end).toMillis() / 2.0;
		return Math.clamp(1 + (aim - wait.toMillis()) / (SLOPE * aim), MIN_CORRECTION, MAX_CORRECTION);
	}

}
