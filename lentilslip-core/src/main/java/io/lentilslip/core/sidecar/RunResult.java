package io.lentilslip.core.sidecar;

import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.verdict.Verdict;

/**
 * How a request to the upstream ended. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface RunResult {

	/**
	 * The engine answered whole.
	 *
	 * @param message the assistant's whole message as a JSON object
	 * @param finishReason why the generation ended
	 * @param usage the tokens taken
	 */
	record Generated(String message, String finishReason, Usage usage) implements RunResult {

	}

	/**
	 * The plain service answered whole.
	 *
	 * @param answer the answer
	 */
	record Served(CallResponse.FromService answer) implements RunResult {

	}

	/**
	 * The upstream refused the request as it is; asking another one makes no sense.
	 *
	 * @param status the HTTP status
	 * @param message what the upstream said
	 */
	record Rejected(int status, String message) implements RunResult {

	}

	/**
	 * The upstream gave no whole answer.
	 *
	 * @param verdict whether the request may have run
	 * @param reason what happened
	 * @param crashed whether the upstream broke off, as it does when it crashes
	 */
	record Failed(Verdict verdict, String reason, boolean crashed) implements RunResult {

	}

}
