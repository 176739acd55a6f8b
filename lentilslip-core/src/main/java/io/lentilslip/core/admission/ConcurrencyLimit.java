package io.lentilslip.core.admission;

import java.time.Duration;

/**
 * A limit of the calls that an upstream gets at once. Calls beyond it wait in the order
 * of this system; inside the upstream, which knows no order, they would wait as they
 * came. Implementations are immutable and safe for use by several threads.
 */
public sealed interface ConcurrencyLimit {

	/**
	 * Returns the most calls that the upstream gets at once.
	 * @return the limit, at least one
	 */
	int limit();

	/**
	 * Returns the limit after a call ended.
	 * @param sample what was measured of the call
	 * @return the limit that takes the sample into account
	 */
	ConcurrencyLimit after(Sample sample);

	/**
	 * Returns a limit that operators set.
	 * @param calls the most calls at once
	 * @return a limit that never changes
	 */
	static ConcurrencyLimit fixed(int calls) {
		return new Fixed(calls);
	}

	/**
	 * Returns a limit that is found from measured times.
	 * @param minimum the least limit
	 * @param maximum the greatest limit
	 * @return a limit that begins with the least
	 */
	static ConcurrencyLimit between(int minimum, int maximum) {
		return Adaptive.startingAt(minimum, maximum);
	}

	/**
	 * What was measured of a call that ended.
	 *
	 * @param duration the time that the upstream took
	 * @param work what the upstream did in it, such as the cost of its tokens; always in
	 * one unit
	 * @param running the calls that ran at the upstream when this one began, with this
	 * one
	 * @param failed whether the upstream failed or was too slow to answer
	 */
	record Sample(Duration duration, long work, int running, boolean failed) {

		/**
		 * Creates a sample.
		 * @param duration the time that the upstream took
		 * @param work what the upstream did in it
		 * @param running the calls that ran when this one began, with this one
		 * @param failed whether the upstream failed or was too slow to answer
		 * @throws IllegalArgumentException if a number is negative or the call did not
		 * run itself
		 */
		public Sample {
			if (duration.isNegative() || work < 0 || running < 1) {
				throw new IllegalArgumentException("not a measurement of a call that ran");
			}
		}

	}

	/**
	 * A limit that never changes.
	 *
	 * @param limit the limit
	 */
	record Fixed(int limit) implements ConcurrencyLimit {

		/**
		 * Creates a limit.
		 * @param limit the limit
		 * @throws IllegalArgumentException if the limit is not positive
		 */
		public Fixed {
			if (limit < 1) {
				throw new IllegalArgumentException("a limit must be positive, not " + limit);
			}
		}

		@Override
		public ConcurrencyLimit after(Sample sample) {
			return this;
		}

	}

	/**
	 * A limit that follows the time that the upstream takes for its work. It is adjusted
	 * once a round: after as many calls as the limit allows at once. It grows while the
	 * time stays near that of a lightly loaded upstream, shrinks in proportion as the
	 * time exceeds it, and shrinks when calls fail. Once in many rounds half the limit is
	 * probed, to measure the lightly loaded time anew: an upstream that is never lightly
	 * loaded would otherwise pass its slowness off as normal, and the limit would creep
	 * up to its maximum.
	 *
	 * @param minimum the least limit
	 * @param maximum the greatest limit
	 * @param target the limit but for probes, with fractions
	 * @param baseline the time for a unit of work of a lightly loaded upstream
	 * @param phase what this round is for
	 * @param rounds the rounds since the last probe
	 * @param round what was measured in this round
	 */
	record Adaptive(int minimum, int maximum, double target, double baseline, Phase phase, int rounds,
			Round round) implements ConcurrencyLimit {

		private static final double LATENCY_TOLERANCE = 1.5;

		private static final double MIN_GRADIENT = 0.5;

		private static final double FAILURE_FACTOR = 0.9;

		private static final int ROUNDS_BETWEEN_PROBES = 50;

		/**
		 * Creates a limit.
		 * @param minimum the least limit
		 * @param maximum the greatest limit
		 * @param target the limit but for probes, with fractions
		 * @param baseline the time for a unit of work of a lightly loaded upstream
		 * @param phase what this round is for
		 * @param rounds the rounds since the last probe
		 * @param round what was measured in this round
		 * @throws IllegalArgumentException if the bounds are not positive or the wrong
		 * way round
		 */
		public Adaptive {
			if (minimum < 1 || maximum < minimum) {
				throw new IllegalArgumentException("no limits from " + minimum + " to " + maximum);
			}
			target = Math.clamp(target, minimum, maximum);
		}

		private static Adaptive startingAt(int minimum, int maximum) {
			return new Adaptive(minimum, maximum, minimum, Double.POSITIVE_INFINITY, Phase.STARTUP, 0, Round.EMPTY);
		}

		@Override
		public int limit() {
			double allowed = (this.phase == Phase.PROBE) ? this.target / 2 : this.target;
			return Math.max(this.minimum, (int) allowed);
		}

		@Override
		public ConcurrencyLimit after(Sample sample) {
			if (this.phase == Phase.PROBE && sample.running() > limit()) {
				return this;
			}
			Round measured = this.round.with(sample);
			if (measured.calls() < limit()) {
				return new Adaptive(this.minimum, this.maximum, this.target, this.baseline, this.phase, this.rounds,
						measured);
			}
			return adjusted(measured);
		}

		private Adaptive adjusted(Round measured) {
			if (measured.failures() > 0) {
				return next(this.target * FAILURE_FACTOR, this.baseline, Phase.STEADY);
			}
			double time = measured.secondsPerWorkUnit();
			if (this.phase == Phase.PROBE) {
				return next(this.target, time, Phase.STEADY);
			}
			double least = Math.min(this.baseline, time);
			if (measured.maxRunning() * 2 < limit()) {
				return next(this.target, least, this.phase);
			}
			double gradient = Math.clamp(LATENCY_TOLERANCE * least / time, MIN_GRADIENT, 1);
			if (this.phase == Phase.STARTUP && gradient == 1) {
				return next(this.target * 2, least, Phase.STARTUP);
			}
			return next(this.target * gradient + Math.sqrt(this.target), least, Phase.STEADY);
		}

		private Adaptive next(double changedTarget, double changedBaseline, Phase changedPhase) {
			if (this.phase != Phase.PROBE && this.rounds >= ROUNDS_BETWEEN_PROBES) {
				return new Adaptive(this.minimum, this.maximum, changedTarget, changedBaseline, Phase.PROBE, 0,
						Round.EMPTY);
			}
			return new Adaptive(this.minimum, this.maximum, changedTarget, changedBaseline, changedPhase,
					this.rounds + 1, Round.EMPTY);
		}

	}

	/**
	 * What a round of an adaptive limit is for. Safe for use by several threads.
	 */
	enum Phase {

		/**
		 * The limit doubles until the upstream slows down.
		 */
		STARTUP,

		/**
		 * The limit follows the measured times.
		 */
		STEADY,

		/**
		 * The limit is halved, to measure the time of a lightly loaded upstream.
		 */
		PROBE

	}

	/**
	 * What was measured in a round. Immutable and safe for use by several threads.
	 *
	 * @param calls the calls that ended
	 * @param failures those of them that failed
	 * @param seconds the time of those that did not fail
	 * @param work the work of those that did not fail
	 * @param mostRunning the most calls that ran at once
	 */
	record Round(int calls, int failures, double seconds, long work, int maxRunning) {

		private static final Round EMPTY = new Round(0, 0, 0, 0, 0);

		private static final double NANOS_PER_SECOND = 1e9;

		private Round with(Sample sample) {
			int most = Math.max(this.maxRunning, sample.running());
			if (sample.failed()) {
				return new Round(this.calls + 1, this.failures + 1, this.seconds, this.work, most);
			}
			return new Round(this.calls + 1, this.failures,
					this.seconds + sample.duration().toNanos() / NANOS_PER_SECOND, this.work + sample.work(), most);
		}

		private double secondsPerWorkUnit() {
			return this.seconds / Math.max(1, this.work);
		}

	}

}
