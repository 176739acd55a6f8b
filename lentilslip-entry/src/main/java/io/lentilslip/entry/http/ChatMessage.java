package io.lentilslip.entry.http;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;

/**
 * The message by which a model answered. Safe for use by several threads as long as none
 * changes the object.
 *
 * @param json the message
 * @param finishReason why the generation ended
 * @param usage the tokens taken
 */
record ChatMessage(ObjectNode json, String finishReason, Usage usage) {

	/**
	 * Returns the message of an answer.
	 * @param answer the answer
	 * @return the message, or an empty result if the answer is none of a model or its
	 * message can't be read
	 */
	static Optional<ChatMessage> of(CallResponse answer) {
		return switch (answer) {
			case CallResponse.FromModel model -> Json.readObject(model.message())
				.map((json) -> new ChatMessage(json, model.finishReason(), model.usage()));
			case CallResponse.FromService service -> Optional.empty();
		};
	}

	/**
	 * Returns the text of the content.
	 * @return the text, or that of all parts together, or no text
	 */
	String text() {
		JsonNode content = this.json.path("content");
		if (!content.isArray()) {
			return content.asText("");
		}
		StringBuilder text = new StringBuilder();
		content.forEach((part) -> text.append(part.path("text").asText("")));
		return text.toString();
	}

}
