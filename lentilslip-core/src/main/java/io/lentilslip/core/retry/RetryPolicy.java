package io.lentilslip.core.retry;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;

/**
 * Policy that decides whether a failed call is retried. A call that may have run is
 * retried only if it is repeatable, and a call that ran is never retried. Immutable and
 * safe for use by several threads.
 *
 * @param maximumAttempts the maximum number of attempts per call, including the first
 * @param minimumTimeLeft the minimum time before the deadline for another attempt
 */
public record RetryPolicy(int maximumAttempts, Duration minimumTimeLeft) {

	/**
	 * Default policy.
	 */
	public static final RetryPolicy DEFAULT = new RetryPolicy(3, Duration.ofMillis(50));

	private static final Set<FailureCause> RETRYABLE_CAUSES = EnumSet.of(FailureCause.QUEUE_FULL, FailureCause.STOPPING,
			FailureCause.NOT_READY, FailureCause.NO_UPSTREAM, FailureCause.MOVED, FailureCause.UPSTREAM_FAILED,
			FailureCause.OUTCOME_UNKNOWN);

	/**
	 * Creates a policy.
	 * @param maximumAttempts the maximum number of attempts per call, including the first
	 * @param minimumTimeLeft the minimum time before the deadline for another attempt
	 * @throws IllegalArgumentException if the maximum is not positive or the time is
	 * negative
	 */
	public RetryPolicy {
		if (maximumAttempts < 1 || minimumTimeLeft.isNegative()) {
			throw new IllegalArgumentException(
					"retry policy requires a positive number of attempts and a non-negative time, not "
							+ maximumAttempts + " and " + minimumTimeLeft);
		}
	}

	/**
	 * Decides whether to retry a call after a failed attempt.
	 * @param attempts the attempts so far
	 * @param budget the retry budget shared by all calls
	 * @return the decision
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
	 * Attempts of a call whose last attempt failed. Immutable and safe for use by several
	 * threads.
	 *
	 * @param failure the last failure, with the verdict over all attempts
	 * @param count the number of attempts
	 * @param repeatable whether the call may run more than once
	 * @param timeLeft the time left until the caller's deadline
	 */
	public record FailedAttempts(CallFailure failure, int count, boolean repeatable, Duration timeLeft) {

		/**
		 * Creates attempts.
		 * @param failure the last failure, with the verdict over all attempts
		 * @param count the number of attempts
		 * @param repeatable whether the call may run more than once
		 * @param timeLeft the time left until the caller's deadline
		 * @throws IllegalArgumentException if the number of attempts is not positive
		 */
		public FailedAttempts {
			Objects.requireNonNull(failure, "failure");
			Objects.requireNonNull(timeLeft, "timeLeft");
			if (count < 1) {
				throw new IllegalArgumentException("number of attempts must be positive");
			}
		}

	}

}
