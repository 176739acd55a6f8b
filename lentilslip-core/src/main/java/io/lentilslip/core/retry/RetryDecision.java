package io.lentilslip.core.retry;

import io.lentilslip.core.call.CallFailure;

/**
 * Decision whether a failed call is retried. Implementations are immutable and safe for
 * use by several threads.
 */
public sealed interface RetryDecision {

	/**
	 * The call is retried, at another upstream if there is one.
	 *
	 * @param budget the budget after the retry
	 */
	record RetryElsewhere(RetryBudget budget) implements RetryDecision {

	}

	/**
	 * The call is not retried.
	 *
	 * @param failure the failure to report to the caller
	 */
	record GiveUp(CallFailure failure) implements RetryDecision {

	}

}
