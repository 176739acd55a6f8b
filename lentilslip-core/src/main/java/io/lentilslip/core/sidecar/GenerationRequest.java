package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramId;

/**
 * Immutable request to an engine to generate an answer. Safe for use by several threads.
 *
 * @param model the model
 * @param messages the conversation, each message a JSON object
 * @param prefix the text that the answer is to start with and the engine is to continue,
 * or an empty text; the final answer includes it
 * @param maximumTokens the maximum number of tokens to generate
 * @param parameters the additional fields of the request, a JSON object
 * @param session the program whose cache the engine is to hold, if the request belongs to
 * one
 * @param cacheLease how long the engine holds the cache without a further request
 */
public record GenerationRequest(ModelName model, List<String> messages, String prefix, int maximumTokens,
		String parameters, Optional<ProgramId> session, Duration cacheLease) {

	/**
	 * Creates a request.
	 * @param model the model
	 * @param messages the conversation, each message a JSON object
	 * @param prefix the text that the answer is to start with, or an empty text
	 * @param maximumTokens the maximum number of tokens to generate
	 * @param parameters the additional fields of the request, a JSON object
	 * @param session the program whose cache the engine is to hold, if the request
	 * belongs to one
	 * @param cacheLease how long the engine holds the cache without a further request
	 */
	public GenerationRequest {
		messages = List.copyOf(messages);
	}

}
