package io.lentilslip.client.engine;

import java.io.IOException;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Tool calls put together from the parts in which an engine streams them. The first part
 * of a call has its id and name; the texts of its arguments follow one another. Not safe
 * for use by several threads.
 */
final class ToolCallAssembly {

	private static final String FUNCTION = "function";

	private static final String ARGUMENTS = "arguments";

	private final long maximumCharacters;

	private final TreeMap<Integer, ObjectNode> calls = new TreeMap<>();

	private final TreeMap<Integer, StringBuilder> arguments = new TreeMap<>();

	private long characters;

	/**
	 * Creates an assembly without calls.
	 * @param maximumCharacters the most characters that all parts may have together
	 */
	ToolCallAssembly(long maximumCharacters) {
		this.maximumCharacters = maximumCharacters;
	}

	/**
	 * Adds the parts of one chunk. Unlike text, parts are kept until the answer ends, so
	 * that an engine which never ends a call would fill the memory; they are bounded.
	 * @param parts the field {@code tool_calls} of a delta
	 * @throws IOException if the calls are longer than allowed
	 */
	void add(JsonNode parts) throws IOException {
		for (JsonNode part : parts) {
			this.characters += part.toString().length();
			if (this.characters > this.maximumCharacters) {
				throw new IOException("tool calls longer than " + this.maximumCharacters + " characters");
			}
			int index = part.path("index").asInt();
			if (part instanceof ObjectNode object) {
				this.calls.computeIfAbsent(index, (first) -> object.deepCopy());
			}
			this.arguments.computeIfAbsent(index, (first) -> new StringBuilder())
				.append(part.path(FUNCTION).path(ARGUMENTS).asText());
		}
	}

	/**
	 * Returns the calls in the form of a whole answer.
	 * @return the text of a JSON array, or empty if there were no calls
	 */
	Optional<String> toJson() {
		if (this.calls.isEmpty()) {
			return Optional.empty();
		}
		ArrayNode whole = EngineAnswers.JSON.createArrayNode();
		this.calls.forEach((index, call) -> {
			call.remove("index");
			call.withObject("/" + FUNCTION).put(ARGUMENTS, this.arguments.get(index).toString());
			whole.add(call);
		});
		return Optional.of(whole.toString());
	}

}
