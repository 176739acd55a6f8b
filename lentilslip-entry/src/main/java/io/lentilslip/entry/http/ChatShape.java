package io.lentilslip.entry.http;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramName;

/**
 * The objects of one chat completion in the shape that OpenAI clients read. All chunks of
 * a stream have the same id. Immutable and safe for use by several threads.
 *
 * @param id the id of the completion
 * @param created when it began
 * @param model the model
 * @param program the program, if the call belongs to one
 */
record ChatShape(String id, Instant created, ModelName model, Optional<ProgramName> program) {

	private static final String CONTENT = "content";

	private static final String ROLE = "role";

	private static final String TOOL_CALLS = "tool_calls";

	private static final String ASSISTANT = "assistant";

	/**
	 * Returns the whole completion.
	 * @param message the message of the model
	 * @param outcome the outcome that has the answer
	 * @return the object
	 */
	ObjectNode whole(ChatMessage message, CallOutcome.Completed outcome) {
		ObjectNode root = base("chat.completion");
		ObjectNode choice = root.putArray("choices").addObject();
		choice.put("index", 0);
		choice.set("message", completed(message.json()));
		choice.putNull("logprobs");
		choice.put("finish_reason", message.finishReason());
		root.set("usage", usage(message.usage()));
		root.set("lentilslip", facts(outcome));
		return root;
	}

	// Stock clients want these fields even where they are empty.
	private static ObjectNode completed(ObjectNode message) {
		ObjectNode copy = message.deepCopy();
		if (!copy.has(ROLE)) {
			copy.put(ROLE, ASSISTANT);
		}
		if (!copy.has(CONTENT)) {
			copy.putNull(CONTENT);
		}
		if (!copy.has("refusal")) {
			copy.putNull("refusal");
		}
		return copy;
	}

	/**
	 * Returns the chunk that begins a stream.
	 * @return the object
	 */
	ObjectNode opening() {
		ObjectNode delta = Json.object().put(ROLE, ASSISTANT).put(CONTENT, "");
		return chunk(delta, Optional.empty());
	}

	/**
	 * Returns a chunk that carries text.
	 * @param text the text that follows
	 * @return the object
	 */
	ObjectNode text(String text) {
		return chunk(Json.object().put(CONTENT, text), Optional.empty());
	}

	/**
	 * Returns the chunk that carries what a message has besides its text, such as tool
	 * calls.
	 * @param message the message
	 * @return the object, or an empty result if the message has nothing else
	 */
	Optional<ObjectNode> rest(ChatMessage message) {
		ObjectNode delta = message.json().deepCopy();
		delta.remove(ROLE);
		delta.remove(CONTENT);
		if (delta.path("refusal").isNull()) {
			delta.remove("refusal");
		}
		if (delta.path(TOOL_CALLS) instanceof ArrayNode calls) {
			number(calls);
		}
		return delta.isEmpty() ? Optional.empty() : Optional.of(chunk(delta, Optional.empty()));
	}

	// In a stream a tool call is found by its index, in a message by its place.
	private static void number(ArrayNode calls) {
		for (int index = 0; index < calls.size(); index++) {
			if (calls.get(index) instanceof ObjectNode call) {
				call.put("index", index);
			}
		}
	}

	/**
	 * Returns the chunk that ends the choice of a stream.
	 * @param message the message of the model
	 * @param outcome the outcome that has the answer
	 * @return the object
	 */
	ObjectNode closing(ChatMessage message, CallOutcome.Completed outcome) {
		ObjectNode root = chunk(Json.object(), Optional.of(message.finishReason()));
		root.set("lentilslip", facts(outcome));
		return root;
	}

	/**
	 * Returns the chunk that tells the tokens taken.
	 * @param message the message of the model
	 * @return the object
	 */
	ObjectNode usage(ChatMessage message) {
		ObjectNode root = base("chat.completion.chunk");
		root.putArray("choices");
		root.set("usage", usage(message.usage()));
		return root;
	}

	private ObjectNode chunk(ObjectNode delta, Optional<String> finishReason) {
		ObjectNode root = base("chat.completion.chunk");
		ObjectNode choice = root.putArray("choices").addObject();
		choice.put("index", 0);
		choice.set("delta", delta);
		choice.putNull("logprobs");
		choice.put("finish_reason", finishReason.orElse(null));
		return root;
	}

	private ObjectNode base(String type) {
		ObjectNode root = Json.object();
		root.put("id", this.id);
		root.put("object", type);
		root.put("created", this.created.getEpochSecond());
		root.put("model", this.model.value());
		return root;
	}

	private ObjectNode facts(CallOutcome.Completed outcome) {
		ObjectNode facts = Json.object();
		this.program.ifPresent((name) -> facts.put("program", name.value()));
		if (outcome.number() > 0) {
			facts.put("call", outcome.number());
		}
		facts.put("durability", outcome.durability().name().toLowerCase(Locale.ROOT));
		return facts;
	}

	private static ObjectNode usage(Usage usage) {
		ObjectNode node = Json.object();
		node.put("prompt_tokens", usage.promptTokens());
		node.put("completion_tokens", usage.generatedTokens());
		node.put("total_tokens", usage.total());
		node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
		return node;
	}

}
