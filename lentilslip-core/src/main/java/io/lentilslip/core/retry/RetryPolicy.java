package io.lentilslip.core.retry;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;

/**
 * Rules that decide whether a failed call is tried again. A call that may have run is
 * tried again only if it may be repeated; one that ran never is. Immutable and safe for
 * use by several threads.
 *
 * @param maximumAttempts the most attempts of one call, with the first
 * @param minimumTimeLeft the time that an attempt needs to make sense
 */
public record RetryPolicy(int maximumAttempts, Duration minimumTimeLeft) {

	/**
	 * The defaults.
	 */
	public static final RetryPolicy DEFAULT = new RetryPolicy(3, Duration.ofMillis(50));

	private static final Set<FailureCause> RETRYABLE_CAUSES = EnumSet.of(FailureCause.QUEUE_FULL, FailureCause.STOPPING,
			FailureCause.NOT_READY, FailureCause.NO_UPSTREAM, FailureCause.MOVED, FailureCause.UPSTREAM_FAILED,
			FailureCause.OUTCOME_UNKNOWN);

	/**
	 * Creates rules.
	 * @param maximumAttempts the most attempts of one call, with the first
	 * @param minimumTimeLeft the time that an attempt needs to make sense
	 * @throws IllegalArgumentException if there is no attempt or the time is negative
	 */
	public RetryPolicy {
		if (maximumAttempts < 1 || minimumTimeLeft.isNegative()) {
			throw new IllegalArgumentException("no rules for retries: " + maximumAttempts + ", " + minimumTimeLeft);
		}
	}

	/**
	 * Decides what follows from a failed attempt.
	 * @param attempts the attempts so far
	 * @param budget the budget that all calls share
	 * @return to try again, or to give up
	 */
	public RetryDecision decide(FailedAttempts attempts, RetryBudget budget) {
		if (!isWorthwhile(attempts) || !isSafe(attempts)) {
			return new RetryDecision.GiveUp(attempts.failure());
		}
		Optional<RetryBudget> left = budget.afterRetry();
		return left.<RetryDecision>map(RetryDecision.RetryElsewhere::new)
			.orElseGet(() -> new RetryDecision.GiveUp(attempts.failure()));
	}

	private boolean isWorthwhile(FailedAttempts attempts) {
		return attempts.count() < this.maximumAttempts && attempts.timeLeft().compareTo(this.minimumTimeLeft) >= 0
				&& RETRYABLE_CAUSES.contains(attempts.failure().cause());
	}

	private static boolean isSafe(FailedAttempts attempts) {
		return switch (attempts.failure().verdict()) {
			case NOT_RUN -> true;
			case MAY_HAVE_RUN -> attempts.repeatable();
			case RAN -> false;
		};
	}

	/**
	 * The attempts of a call, the last of which failed. Immutable and safe for use by
	 * several threads.
	 *
	 * @param failure the last failure, with the verdict over all attempts
	 * @param made the number of attempts
	 * @param repeatable whether the call may be repeated
	 * @param timeLeft the time left until the caller's deadline
	 */
	public record FailedAttempts(CallFailure failure, int count, boolean repeatable, Duration timeLeft) {

		/**
		 * Creates attempts.
		 * @param failure the last failure, with the verdict over all attempts
		 * @param made the number of attempts
		 * @param repeatable whether the call may be repeated
		 * @param timeLeft the time left until the caller's deadline
		 * @throws IllegalArgumentException if no attempt was made
		 */
		public FailedAttempts {
			Objects.requireNonNull(failure, "failure");
			Objects.requireNonNull(timeLeft, "timeLeft");
			if (count < 1) {
				throw new IllegalArgumentException("no attempt was made");
			}
		}

	}

}
