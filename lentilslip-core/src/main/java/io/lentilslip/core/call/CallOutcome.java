package io.lentilslip.core.call;

import io.lentilslip.core.verdict.Verdict;

/**
 * How a call ended. Implementations are immutable and safe for use by several threads.
 */
public sealed interface CallOutcome {

	/**
	 * Returns what is known of the execution.
	 * @return the verdict
	 */
	Verdict verdict();

	/**
	 * A call that has its whole answer.
	 *
	 * @param answer the answer
	 * @param durability whether the turn is in the log
	 * @param number the number of the call in its program, or 0 without a program
	 */
	record Completed(CallResponse response, Durability durability, int number) implements CallOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.RAN;
		}

	}

	/**
	 * A call that has no answer.
	 *
	 * @param failure why, and whether it may have run
	 */
	record Failed(CallFailure failure) implements CallOutcome {

		@Override
		public Verdict verdict() {
			return this.failure.verdict();
		}

	}

}
