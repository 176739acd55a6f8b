package io.lentilslip.core.share;

import java.time.Duration;
import java.time.Instant;

/**
 * Strategy for ordering the calls waiting for one upstream. Implementations are immutable
 * and thread-safe.
 */
public sealed interface Ordering {

	/**
	 * Returns the rank of a call in its queue; lower ranks are served first. The rank
	 * stays constant while the call is waiting, so queues need no reordering.
	 * @param arrived when the call arrived
	 * @param programArrived when the first call of its program arrived
	 * @param attained the service of its program so far, including the estimates of its
	 * waiting and running calls
	 * @return the rank
	 */
	Instant rank(Instant arrived, Instant programArrived, long attained);

	/**
	 * Weighted fair queueing over groups. The group with the least service per share is
	 * served first. Within a group, interactive calls precede background calls, except
	 * for a minimum percentage reserved for background calls. Within a class, calls are
	 * ordered by arrival time plus a penalty proportional to the service their program
	 * has attained. The penalty is bounded, so a call is never overtaken by calls that
	 * arrive later than the bound.
	 *
	 * @param backgroundPercent the minimum percentage of a group's service for its
	 * background calls while both classes have waiting calls
	 * @param costPerPenaltySecond the attained service that delays a call by one second
	 * @param maxPenalty the longest delay of a call
	 */
	record FairShare(int backgroundPercent, long costPerPenaltySecond, Duration maxPenalty) implements Ordering {

		/**
		 * The default order. At the default token cost, 250 generated tokens add a
		 * penalty of one second.
		 */
		public static final FairShare DEFAULT = new FairShare(10, 10_000, Duration.ofSeconds(30));

		private static final int PERCENT_TOTAL = 100;

		private static final long MILLIS_PER_SECOND = 1000;

		/**
		 * Creates an order.
		 * @param backgroundPercent the minimum percentage of a group's service for its
		 * background calls while both classes have waiting calls
		 * @param costPerPenaltySecond the attained service that delays a call by one
		 * second
		 * @param maxPenalty the longest delay of a call
		 * @throws IllegalArgumentException if the percentage is not from 1 to 99, the
		 * cost is not positive or the penalty is negative
		 */
		public FairShare {
			if (backgroundPercent < 1 || backgroundPercent >= PERCENT_TOTAL) {
				throw new IllegalArgumentException("background percentage must be from 1 to 99: " + backgroundPercent);
			}
			if (costPerPenaltySecond < 1 || maxPenalty.isNegative()) {
				throw new IllegalArgumentException(
						"cost per penalty second must be positive and maximum penalty not negative");
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
		 * Returns the credit of background calls for service of interactive calls.
		 * @param interactive the service of interactive calls
		 * @return the credit of background calls
		 */
		double backgroundCredit(long interactive) {
			return (double) interactive * this.backgroundPercent / (PERCENT_TOTAL - this.backgroundPercent);
		}

	}

	/**
	 * Order by the arrival of calls, independent of their group.
	 */
	record FirstComeFirstServed() implements Ordering {

		@Override
		public Instant rank(Instant arrived, Instant programArrived, long attained) {
			return arrived;
		}

	}

	/**
	 * Order by the arrival of programs, independent of their group: calls of a program
	 * that started earlier are served first.
	 */
	record ProgramFirstCome() implements Ordering {

		@Override
		public Instant rank(Instant arrived, Instant programArrived, long attained) {
			return programArrived;
		}

	}

}
