package io.lentilslip.core.admission;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Decides which new programs a service has room for. A program is admitted or refused as
 * a whole, at its first turn: its level depends on its id alone, so relays with similar
 * estimates of the room decide alike without a message. Estimates are recomputed at
 * intervals. Not thread-safe.
 */
public final class ProgramAdmission {

	/**
	 * The interval at which the cutoffs are recomputed; below the time in which places
	 * come free.
	 */
	private static final long UPDATE_INTERVAL_MS = 20;

	/**
	 * The time over which the rate of arrivals is measured: short, so that the end of a
	 * burst is noticed at once.
	 */
	private static final Duration ARRIVAL_DECAY = Duration.ofMillis(250);

	/**
	 * The time over which the rate of admitted programs is measured: as long as programs
	 * last, so that it includes what they need later.
	 */
	private static final Duration ADMISSION_DECAY = Duration.ofMillis(2000);

	private final ArrivalMix arrivals = new ArrivalMix();

	private final ReturnSchedule returns;

	private FairCutoffs cutoffs = FairCutoffs.NONE;

	private Duration expectedWait = Duration.ZERO;

	private double fraction = 1;

	private long updatedAt = Long.MIN_VALUE / 2;

	private final DecayingRate arrived = new DecayingRate(ARRIVAL_DECAY);

	private final DecayingRate admitted = new DecayingRate(ADMISSION_DECAY);

	/**
	 * Creates an admission that admits all programs until it is updated.
	 * @param random spreads the returns of refused callers
	 */
	public ProgramAdmission(RandomGenerator random) {
		this.returns = new ReturnSchedule(random);
	}

	/**
	 * Returns whether the estimate of the room has to be updated before a decision.
	 * @param now the current time in milliseconds
	 * @return whether it has
	 */
	public boolean isOutdated(long now) {
		return now - this.updatedAt >= UPDATE_INTERVAL_MS;
	}

	/**
	 * Updates the estimate of the room.
	 * @param wait the wait that a new request has to expect
	 * @param tolerance the waits that callers tolerate
	 * @param now the current time in milliseconds
	 */
	public void update(Duration wait, WaitTolerance tolerance, long now) {
		this.updatedAt = now;
		this.expectedWait = wait;
		this.fraction = tolerance.admittedFraction(wait, this.admitted.perSecond(now), this.arrived.perSecond(now));
		this.cutoffs = (this.fraction < 1) ? FairCutoffs.of(this.arrivals.counts(now), this.fraction)
				: FairCutoffs.NONE;
	}

	/**
	 * Decides on a new program.
	 * @param program its id
	 * @param programClass its class
	 * @param longestDelay the longest delay that its caller waits before it comes back
	 * @param now the current time in milliseconds
	 * @return the decision
	 */
	public Decision decide(String program, ProgramClass programClass, Duration longestDelay, long now) {
		this.arrivals.add(programClass, now);
		this.arrived.add(now);
		double cutoff = this.cutoffs.cutoff(programClass);
		if (level(program) < cutoff) {
			this.admitted.add(now);
			return new Decision.Admitted();
		}
		return new Decision.Refused(cutoff, this.returns.next(this.admitted.perSecond(now), longestDelay, now));
	}

	private static double level(String program) {
		return new SplittableRandom(program.hashCode()).nextDouble();
	}

	/**
	 * Returns the fraction of new programs that is admitted.
	 * @return the fraction, from 0 to 1
	 */
	public double fraction() {
		return this.fraction;
	}

	/**
	 * Returns the expected wait for a place as of the last update.
	 * @return the wait
	 */
	public Duration expectedWait() {
		return this.expectedWait;
	}

	/**
	 * Decision on a new program. Implementations are immutable and safe for use by
	 * several threads.
	 */
	public sealed interface Decision {

		/**
		 * The program is admitted with all its turns.
		 */
		record Admitted() implements Decision {

		}

		/**
		 * The program is refused.
		 *
		 * @param cutoff the cutoff of its class
		 * @param retryAfter the delay after which its caller is to come back
		 */
		record Refused(double cutoff, Duration retryAfter) implements Decision {

		}

	}

}
