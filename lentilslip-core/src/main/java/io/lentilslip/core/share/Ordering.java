package io.lentilslip.core.share;

import java.time.Duration;
import java.time.Instant;

/**
 * A strategy that orders the calls that wait for one upstream. Implementations are
 * immutable and safe for use by several threads.
 */
public sealed interface Ordering {

	/**
	 * Returns the rank of a call in its line: lower ranks go first. It depends on nothing
	 * that changes while the call waits, so that lines need no reordering.
	 * @param arrived when the call arrived
	 * @param programArrived when the first call of its program arrived
	 * @param attained the service its program got so far, with that promised to its calls
	 * that already wait or run
	 * @return the rank
	 */
	Instant rank(Instant arrived, Instant programArrived, long attained);

	/**
	 * An order by the weighted service of groups. The group that got the least for its
	 * share goes first. Within a group, interactive calls go before background calls, but
	 * for a part that background calls always get. Within a class, a call is put back by
	 * the service that its program has attained, up to a bound: no call waits behind one
	 * that came later than that bound.
	 *
	 * @param backgroundPercent the part of a group's service that its background calls
	 * get at least while both classes wait
	 * @param costPerSecond the attained service that puts a call back by one second
	 * @param maximumSetback the longest a call is put back
	 */
	record FairShare(int backgroundPercent, long costPerPenaltySecond, Duration maxPenalty) implements Ordering {

		/**
		 * The defaults: a tenth for background calls; one second for 250 generated tokens
		 * at the standard cost, and no more than half a minute.
		 */
		public static final FairShare DEFAULT = new FairShare(10, 10_000, Duration.ofSeconds(30));

		private static final int PERCENT_TOTAL = 100;

		private static final long MILLIS_PER_SECOND = 1000;

		/**
		 * Creates an order.
		 * @param backgroundPercent the part of a group's service that its background
		 * calls get at least while both classes wait
		 * @param costPerSecond the attained service that puts a call back by one second
		 * @param maximumSetback the longest a call is put back
		 * @throws IllegalArgumentException if the part is not from 1 to 99, the cost is
		 * not positive or the setback negative
		 */
		public FairShare {
			if (backgroundPercent < 1 || backgroundPercent >= PERCENT_TOTAL) {
				throw new IllegalArgumentException("no percentage from 1 to 99: " + backgroundPercent);
			}
			if (costPerPenaltySecond < 1 || maxPenalty.isNegative()) {
				throw new IllegalArgumentException("the cost must be positive, the setback not negative");
			}
		}

		@Override
		public Instant rank(Instant arrived, Instant programArrived, long attained) {
			return arrived.plus(penalty(attained));
		}

		private Duration penalty(long attained) {
			if (attained / this.costPerPenaltySecond >= this.maxPenalty.toSeconds()) {
				return this.maxPenalty;
			}
			return Duration.ofMillis(Math.max(0, attained) * MILLIS_PER_SECOND / this.costPerPenaltySecond);
		}

		/**
		 * Returns the service that background calls are due for service that interactive
		 * calls got.
		 * @param interactive the service of interactive calls
		 * @return the service due to background calls
		 */
		double backgroundCredit(long interactive) {
			return (double) interactive * this.backgroundPercent / (PERCENT_TOTAL - this.backgroundPercent);
		}

	}

	/**
	 * An order by the arrival of calls, whatever their group.
	 */
	record FirstComeFirstServed() implements Ordering {

		@Override
		public Instant rank(Instant arrived, Instant programArrived, long attained) {
			return arrived;
		}

	}

	/**
	 * An order by the arrival of programs, whatever their group: calls of a program that
	 * began earlier go first.
	 */
	record ProgramFirstCome() implements Ordering {

		@Override
		public Instant rank(Instant arrived, Instant programArrived, long attained) {
			return programArrived;
		}

	}

}
