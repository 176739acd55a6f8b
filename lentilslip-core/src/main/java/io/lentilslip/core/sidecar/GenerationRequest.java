package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramId;

/**
 * What an engine is asked to generate. Immutable and safe for use by several threads.
 *
 * @param model the model
 * @param messages the conversation, each message a JSON object
 * @param prefix the text of the answer that is there already and is to be continued, or
 * an empty text; the answer reported at the end holds it too
 * @param maximumTokens the most tokens to generate
 * @param parameters the further fields of the request, a JSON object
 * @param session the program whose cache is to be held, if it belongs to one
 * @param cacheLease how long the engine holds the cache without a further request
 */
public record GenerationRequest(ModelName model, List<String> messages, String prefix, int maximumTokens,
		String parameters, Optional<ProgramId> session, Duration cacheLease) {

	/**
	 * Creates an order.
	 * @param model the model
	 * @param messages the conversation, each message a JSON object
	 * @param prefix the text of the answer that is there already, or an empty text
	 * @param maximumTokens the most tokens to generate
	 * @param parameters the further fields of the request, a JSON object
	 * @param session the program whose cache is to be held, if it belongs to one
	 * @param cacheLease how long the engine holds the cache without a further request
	 */
	public GenerationRequest {
		messages = List.copyOf(messages);
	}

}
