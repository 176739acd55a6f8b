package io.lentilslip.core.admission;

import java.time.Duration;

/**
 * Concurrency limit of an upstream. Calls beyond it are queued by this system, which
 * orders them, rather than inside the upstream, which does not. Implementations are
 * immutable and safe for use by several threads.
 */
public sealed interface ConcurrencyLimit {

	/**
	 * Returns the maximum number of calls in flight at the upstream.
	 * @return the limit, at least one
	 */
	int limit();

	/**
	 * Returns the limit updated after a call ended.
	 * @param sample the measurement of the call
	 * @return the updated limit
	 */
	ConcurrencyLimit after(Sample sample);

	/**
	 * Returns a fixed limit.
	 * @param calls the maximum number of concurrent calls
	 * @return the limit
	 */
	static ConcurrencyLimit fixed(int calls) {
		return new Fixed(calls);
	}

	/**
	 * Returns a limit that adapts to measured latencies.
	 * @param minimum the minimum limit
	 * @param maximum the maximum limit
	 * @return a limit that starts at the minimum
	 */
	static ConcurrencyLimit between(int minimum, int maximum) {
		return Adaptive.startingAt(minimum, maximum);
	}

	/**
	 * Measurement of a call that ended.
	 *
	 * @param duration the time spent at the upstream
	 * @param work the work done by the upstream, such as the cost of the tokens, in a
	 * consistent unit
	 * @param running the number of calls in flight at the upstream when this call
	 * started, including it
	 * @param failed whether the upstream failed or timed out
	 */
	record Sample(Duration duration, long work, int running, boolean failed) {

		/**
		 * Creates a sample.
		 * @param duration the time spent at the upstream
		 * @param work the work done by the upstream, such as the cost of the tokens, in a
		 * consistent unit
		 * @param running the number of calls in flight at the upstream when this call
		 * started, including it
		 * @param failed whether the upstream failed or timed out
		 * @throws IllegalArgumentException if a value is negative or {@code running} does
		 * not include the call
		 */
		public Sample {
			if (duration.isNegative() || work < 0 || running < 1) {
				throw new IllegalArgumentException(
						"duration and work must not be negative and running must be at least 1");
			}
		}

	}

	/**
	 * Fixed limit.
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
				throw new IllegalArgumentException("limit must be positive, not " + limit);
			}
		}

		@Override
		public ConcurrencyLimit after(Sample sample) {
			return this;
		}

	}

	/**
	 * Limit that adapts to the latency per unit of work. It is adjusted once per round,
	 * which lasts for as many calls as the current limit. The limit grows while the
	 * latency stays near the baseline of a lightly loaded upstream, and shrinks in
	 * proportion to higher latencies and after failures. Periodic probes at half the
	 * limit measure the baseline again; without them the baseline of a permanently loaded
	 * upstream would drift up and the limit would grow to its maximum.
	 *
	 * @param minimum the minimum limit
	 * @param maximum the maximum limit
	 * @param target the limit outside probes, as a fractional value
	 * @param baseline the seconds per unit of work of a lightly loaded upstream
	 * @param phase the phase of this round
	 * @param rounds the number of rounds since the last probe
	 * @param round the measurements of this round
	 */
	record Adaptive(int minimum, int maximum, double target, double baseline, Phase phase, int rounds,
			Round round) implements ConcurrencyLimit {

		private static final double LATENCY_TOLERANCE = 1.5;

		private static final double MIN_GRADIENT = 0.5;

		private static final double FAILURE_FACTOR = 0.9;

		private static final int ROUNDS_BETWEEN_PROBES = 50;

		/**
		 * Creates a limit.
		 * @param minimum the minimum limit
		 * @param maximum the maximum limit
		 * @param target the limit outside probes, as a fractional value
		 * @param baseline the seconds per unit of work of a lightly loaded upstream
		 * @param phase the phase of this round
		 * @param rounds the number of rounds since the last probe
		 * @param round the measurements of this round
		 * @throws IllegalArgumentException if the minimum is not positive or exceeds the
		 * maximum
		 */
		public Adaptive {
			if (minimum < 1 || maximum < minimum) {
				throw new IllegalArgumentException(
						"minimum must be positive and not exceed maximum, not " + minimum + " and " + maximum);
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
			double lowestLatency = Math.min(this.baseline, time);
			if (measured.maxRunning() * 2 < limit()) {
				return next(this.target, lowestLatency, this.phase);
			}
			double gradient = Math.clamp(LATENCY_TOLERANCE * lowestLatency / time, MIN_GRADIENT, 1);
			if (this.phase == Phase.STARTUP && gradient == 1) {
				return next(this.target * 2, lowestLatency, Phase.STARTUP);
			}
			return next(this.target * gradient + Math.sqrt(this.target), lowestLatency, Phase.STEADY);
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
	 * Phase of an adaptive limit. Safe for use by several threads.
	 */
	enum Phase {

		/**
		 * The limit doubles each round until the latency rises.
		 */
		STARTUP,

		/**
		 * The limit follows the measured latency.
		 */
		STEADY,

		/**
		 * The limit is halved to measure the baseline.
		 */
		PROBE

	}

	/**
	 * Measurements of a round. Immutable and safe for use by several threads.
	 *
	 * @param calls the number of calls that ended
	 * @param failures the number of failed calls
	 * @param seconds the total duration of the successful calls
	 * @param work the total work of the successful calls
	 * @param maxRunning the maximum number of calls in flight
	 */
	record Round(int calls, int failures, double seconds, long work, int maxRunning) {

		private static final Round EMPTY = new Round(0, 0, 0, 0, 0);

		private static final double NANOS_PER_SECOND = 1e9;

		private Round with(Sample sample) {
			int highest = Math.max(this.maxRunning, sample.running());
			if (sample.failed()) {
				return new Round(this.calls + 1, this.failures + 1, this.seconds, this.work, highest);
			}
			return new Round(this.calls + 1, this.failures,
					this.seconds + sample.duration().toNanos() / NANOS_PER_SECOND, this.work + sample.work(), highest);
		}

		private double secondsPerWorkUnit() {
			return this.seconds / Math.max(1, this.work);
		}

	}

}
