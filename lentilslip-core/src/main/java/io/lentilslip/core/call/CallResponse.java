package io.lentilslip.core.call;

import java.util.List;

/**
 * The answer of an upstream. Implementations are immutable and safe for use by several
 * threads.
 */
public sealed interface CallResponse {

	/**
	 * The answer of a model.
	 *
	 * @param message the assistant's message, a JSON object
	 * @param finishReason why the generation ended, in the words of the callers'
	 * interface
	 * @param usage the tokens taken
	 */
	record FromModel(String message, String finishReason, Usage usage) implements CallResponse {

	}

	/**
	 * The answer of a plain service.
	 *
	 * @param status the HTTP status
	 * @param headers the headers to pass back
	 * @param body the body
	 */
	record FromService(int status, List<Header> headers, Body body) implements CallResponse {

		/**
		 * Creates an answer.
		 * @param status the HTTP status
		 * @param headers the headers to pass back
		 * @param body the body
		 */
		public FromService {
			headers = List.copyOf(headers);
		}

	}

}
