package io.lentilslip.core.call;

import io.lentilslip.core.verdict.Verdict;

/**
 * Outcome of a call. Implementations are immutable and thread-safe.
 */
public sealed interface CallOutcome {

	/**
	 * Returns what is known of the execution of the call.
	 * @return the verdict
	 */
	Verdict verdict();

	/**
	 * The call returned a complete response.
	 *
	 * @param response the response
	 * @param durability whether the turn is committed to the log
	 * @param number the number of the call in its program, or 0 if it belongs to none
	 */
	record Completed(CallResponse response, Durability durability, int number) implements CallOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.RAN;
		}

	}

	/**
	 * The call failed.
	 *
	 * @param failure the failure
	 */
	record Failed(CallFailure failure) implements CallOutcome {

		@Override
		public Verdict verdict() {
			return this.failure.verdict();
		}

	}

}
