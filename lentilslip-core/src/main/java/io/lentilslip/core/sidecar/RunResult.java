package io.lentilslip.core.sidecar;

import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.verdict.Verdict;

/**
 * Immutable result of a request to the upstream. Safe for use by several threads.
 */
public sealed interface RunResult {

	/**
	 * The engine completed the answer.
	 *
	 * @param message the complete assistant message as a JSON object
	 * @param finishReason why the generation ended
	 * @param usage the tokens used
	 */
	record Generated(String message, String finishReason, Usage usage) implements RunResult {

	}

	/**
	 * The service returned a complete response.
	 *
	 * @param answer the response
	 */
	record Served(CallResponse.FromService answer) implements RunResult {

	}

	/**
	 * The upstream rejected the request; a retry at another upstream would fail as well.
	 *
	 * @param status the HTTP status
	 * @param message the error message of the upstream
	 */
	record Rejected(int status, String message) implements RunResult {

	}

	/**
	 * The request ended without a complete answer.
	 *
	 * @param verdict whether the request may have run
	 * @param reason a description of the failure
	 * @param crashed whether the connection was lost in a way that indicates a crash of
	 * the upstream
	 */
	record Failed(Verdict verdict, String reason, boolean crashed) implements RunResult {

	}

}
