package io.lentilslip.runtime.conversation;

import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The one text of a JSON value: equal values have equal texts. An entry writes the
 * messages of callers in it and a sidecar those of engines, so that a conversation sent
 * back matches the history that is held. Safe for use by several threads.
 */
public final class CanonicalJson {

	private static final String CONTENT = "content";

	private static final String TOOL_CALLS = "tool_calls";

	private CanonicalJson() {
	}

	/**
	 * Returns the text of a value, with the fields of each object sorted and no blanks.
	 * @param value the value, no deeper than a reader's limit
	 * @return the text
	 */
	public static String text(JsonNode value) {
		return sorted(value).toString();
	}

	/**
	 * Returns the text of a message. Stock clients send an answer back with fields that
	 * they show but that have no value, such as refusal, and with an empty content beside
	 * tool calls: these are left out, or the message would not match the history.
	 * @param message the message
	 * @return the text
	 */
	public static String messageText(JsonNode message) {
		if (!(message instanceof ObjectNode object)) {
			return text(message);
		}
		ObjectNode copy = JsonNodeFactory.instance.objectNode();
		object.properties()
			.stream()
			.filter((field) -> !field.getValue().isNull())
			.forEach((field) -> copy.set(field.getKey(), field.getValue()));
		if (copy.has(TOOL_CALLS) && copy.path(CONTENT).asText("-").isEmpty()) {
			copy.remove(CONTENT);
		}
		return text(copy);
	}

	private static JsonNode sorted(JsonNode value) {
		if (value instanceof ObjectNode object) {
			TreeMap<String, JsonNode> fields = new TreeMap<>();
			object.properties().forEach((field) -> fields.put(field.getKey(), sorted(field.getValue())));
			return JsonNodeFactory.instance.objectNode().setAll(fields);
		}
		if (value instanceof ArrayNode array) {
			ArrayNode copy = JsonNodeFactory.instance.arrayNode(array.size());
			array.forEach((item) -> copy.add(sorted(item)));
			return copy;
		}
		return value;
	}

}
