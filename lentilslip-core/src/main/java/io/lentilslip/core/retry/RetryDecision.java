package io.lentilslip.core.retry;

import io.lentilslip.core.call.CallFailure;

/**
 * What follows from a failed attempt. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface RetryDecision {

	/**
	 * The call is tried again, at another upstream if there is one.
	 *
	 * @param budget the budget after the retry
	 */
	record RetryElsewhere(RetryBudget budget) implements RetryDecision {

	}

	/**
	 * The call is not tried again.
	 *
	 * @param failure what the caller is told
	 */
	record GiveUp(CallFailure failure) implements RetryDecision {

	}

}
