package io.lentilslip.core.call;

import java.util.List;

/**
 * Response of an upstream. Implementations are immutable and thread-safe.
 */
public sealed interface CallResponse {

	/**
	 * Response of a model.
	 *
	 * @param message the assistant's message as a JSON object
	 * @param finishReason the reason why the generation ended, as defined by the callers'
	 * API
	 * @param usage the tokens used
	 */
	record FromModel(String message, String finishReason, Usage usage) implements CallResponse {

	}

	/**
	 * Response of a plain service.
	 *
	 * @param status the HTTP status
	 * @param headers the headers to return to the caller
	 * @param body the body
	 */
	record FromService(int status, List<Header> headers, Body body) implements CallResponse {

		/**
		 * Creates a response.
		 * @param status the HTTP status
		 * @param headers the headers to return to the caller
		 * @param body the body
		 */
		public FromService {
			headers = List.copyOf(headers);
		}

	}

}
