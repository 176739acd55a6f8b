package io.lentilslip.client.engine;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.identity.ModelName;

/**
 * A request for an answer of a model. What the caller sent is carried as the caller wrote
 * it. Immutable and safe for use by several threads.
 *
 * @param id the name by which the engine knows the request
 * @param model the model
 * @param messages the conversation as the text of a JSON array
 * @param maximumTokens the most tokens to generate, if there is a bound
 * @param pin whether the engine keeps the sequence in memory after the answer
 * @param continuesFinalMessage whether the last message is an answer to be continued
 * @param furtherFields all other fields, as sampling and tools, as the text of a JSON
 * object; a field that this record has itself counts as the record has it
 */
public record EngineRequest(String id, ModelName model, String messages, OptionalInt maximumTokens, Optional<KvPin> pin,
		boolean continuesFinalMessage, String furtherFields) {

	private static final String NO_FIELDS = "{}";

	/**
	 * Creates a request.
	 * @throws IllegalArgumentException if the messages are not the text of an array
	 */
	public EngineRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(maximumTokens, "maximumTokens");
		Objects.requireNonNull(pin, "pin");
		Objects.requireNonNull(furtherFields, "furtherFields");
		if (!messages.startsWith("[") || !messages.endsWith("]")) {
			throw new IllegalArgumentException("messages are the text of a JSON array");
		}
	}

	/**
	 * Returns a request with nothing but a conversation.
	 * @param id the name by which the engine knows the request
	 * @param model the model
	 * @param messages the conversation as the text of a JSON array
	 * @return the request
	 */
	public static EngineRequest of(String id, ModelName model, String messages) {
		return new EngineRequest(id, model, messages, OptionalInt.empty(), Optional.empty(), false, NO_FIELDS);
	}

	/**
	 * Returns this request with a bound on its answer.
	 * @param tokens the most tokens to generate
	 * @return the changed request
	 */
	public EngineRequest withMaximumTokens(int tokens) {
		return new EngineRequest(this.id, this.model, this.messages, OptionalInt.of(tokens), this.pin,
				this.continuesFinalMessage, this.furtherFields);
	}

	/**
	 * Returns this request with a pin.
	 * @param wish how the engine keeps the sequence in memory
	 * @return the changed request
	 */
	public EngineRequest withPin(KvPin wish) {
		return new EngineRequest(this.id, this.model, this.messages, this.maximumTokens, Optional.of(wish),
				this.continuesFinalMessage, this.furtherFields);
	}

	/**
	 * Returns this request for the rest of an answer whose beginning is the last message.
	 * @return the changed request
	 */
	public EngineRequest continuingFinalMessage() {
		return new EngineRequest(this.id, this.model, this.messages, this.maximumTokens, this.pin, true,
				this.furtherFields);
	}

	/**
	 * Returns this request with other further fields.
	 * @param fields the text of a JSON object
	 * @return the changed request
	 */
	public EngineRequest withFurtherFields(String fields) {
		return new EngineRequest(this.id, this.model, this.messages, this.maximumTokens, this.pin,
				this.continuesFinalMessage, fields);
	}

}
