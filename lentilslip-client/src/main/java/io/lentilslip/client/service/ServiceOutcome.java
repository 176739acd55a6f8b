package io.lentilslip.client.service;

import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.verdict.Verdict;

/**
 * How one attempt to call a plain service ended. Implementations are immutable and safe
 * for use by several threads.
 */
public sealed interface ServiceOutcome {

	/**
	 * Returns what is known of the request's execution.
	 * @return the verdict
	 */
	Verdict verdict();

	/**
	 * The service answered whole, whatever the status.
	 *
	 * @param answer the answer
	 */
	record Answered(CallResponse.FromService answer) implements ServiceOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.RAN;
		}

	}

	/**
	 * Nothing of the request was sent.
	 *
	 * @param reason what happened, for people
	 */
	record NotSent(String reason) implements ServiceOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.NOT_RUN;
		}

	}

	/**
	 * The request can't be sent as it is, and nothing of it was: no service would take
	 * it.
	 *
	 * @param reason what is wrong with it, for people
	 */
	record Invalid(String reason) implements ServiceOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.NOT_RUN;
		}

	}

	/**
	 * Some of the request may have been sent, and no whole answer came.
	 *
	 * @param reason what happened, for people
	 * @param brokenOff whether the other side ended the connection, as it does when it
	 * crashes
	 */
	record Lost(String reason, boolean brokenOff) implements ServiceOutcome {

		@Override
		public Verdict verdict() {
			return Verdict.MAY_HAVE_RUN;
		}

	}

}
