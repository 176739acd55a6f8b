package io.lentilslip.standin.engine;

import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The JSON documents that the engine sends. Without state, safe for use by several
 * threads.
 */
final class EngineJson {

	/**
	 * What reads and creates the documents.
	 */
	static final ObjectMapper MAPPER = new ObjectMapper();

	private EngineJson() {
	}

	private static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Returns the document of a refusal.
	 * @param rejected the refusal
	 * @return the document, which says that nothing was run
	 */
	static ObjectNode error(RejectedRequestException rejected) {
		return error(rejected.getMessage(), rejected.code(), "not_run");
	}

	/**
	 * Returns the document of a fault of the engine itself.
	 * @param fault the fault
	 * @return the document
	 */
	static ObjectNode fault(Throwable fault) {
		return error("internal error: " + fault.getClass().getSimpleName(), "internal_error", "may_have_run");
	}

	private static ObjectNode error(String message, String code, String verdict) {
		ObjectNode document = object();
		document.putObject("error").put("message", message).put("type", code).put("code", code).put("verdict", verdict);
		return document;
	}

	/**
	 * Returns a whole answer.
	 * @param request the request, ended
	 * @return the document
	 */
	static ObjectNode whole(KeptRequest request) {
		ObjectNode document = answer(request, "chat.completion");
		ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
		ObjectNode message = choice.putObject("message").put("role", "assistant");
		if (request.answer().toolCall().isPresent()) {
			message.putNull("content");
			toolCalls(message, request);
		}
		else {
			message.put("content", text(request));
		}
		choice.put("finish_reason", request.finishReason());
		document.set("usage", usage(request));
		return document;
	}

	private static String text(KeptRequest request) {
		StringBuilder text = new StringBuilder();
		for (int i = request.answer().from(); i < request.nextPosition(); i++) {
			text.append(request.answer().token(i));
		}
		return text.toString();
	}

	/**
	 * Returns the first part of a streamed answer.
	 * @param request the request
	 * @return the document
	 */
	static ObjectNode first(KeptRequest request) {
		ObjectNode document = answer(request, "chat.completion.chunk");
		choice(document).putObject("delta").put("role", "assistant").put("content", "");
		return document;
	}

	/**
	 * Returns the part of a streamed answer with one token.
	 * @param request the request
	 * @param position the token's position
	 * @return the document
	 */
	static ObjectNode token(KeptRequest request, int position) {
		ObjectNode document = answer(request, "chat.completion.chunk");
		choice(document).putObject("delta").put("content", request.answer().token(position));
		return document;
	}

	/**
	 * Returns the part of a streamed answer that says why it ended, with the tool call if
	 * there is one.
	 * @param request the request, ended
	 * @return the document
	 */
	static ObjectNode last(KeptRequest request) {
		ObjectNode document = answer(request, "chat.completion.chunk");
		ObjectNode choice = choice(document);
		ObjectNode delta = choice.putObject("delta");
		if (request.answer().toolCall().isPresent() && request.state() == KeptRequest.State.FINISHED) {
			toolCalls(delta, request);
		}
		choice.put("finish_reason", request.finishReason());
		return document;
	}

	/**
	 * Returns the part of a streamed answer with the usage.
	 * @param request the request, ended
	 * @return the document
	 */
	static ObjectNode lastUsage(KeptRequest request) {
		ObjectNode document = answer(request, "chat.completion.chunk");
		document.putArray("choices");
		document.set("usage", usage(request));
		return document;
	}

	private static ObjectNode answer(KeptRequest request, String kind) {
		return object().put("id", "chatcmpl-" + request.id())
			.put("object", kind)
			.put("created", TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()))
			.put("model", request.chat().model());
	}

	private static ObjectNode choice(ObjectNode document) {
		return document.putArray("choices").addObject().put("index", 0).putNull("finish_reason");
	}

	private static void toolCalls(ObjectNode message, KeptRequest request) {
		ToolCall call = request.answer().toolCall().orElseThrow();
		String id = "call_" + HexFormat.of().toHexDigits(request.answer().seed());
		message.putArray("tool_calls")
			.addObject()
			.put("index", 0)
			.put("id", id)
			.put("type", "function")
			.putObject("function")
			.put("name", call.name())
			.put("arguments", call.arguments());
	}

	private static ObjectNode usage(KeptRequest request) {
		int prompt = request.chat().conversation().prompt().tokens();
		ObjectNode usage = object().put("prompt_tokens", prompt)
			.put("completion_tokens", request.generated())
			.put("total_tokens", prompt + request.generated());
		usage.putObject("prompt_tokens_details").put("cached_tokens", request.cachedTokens());
		return usage;
	}

	/**
	 * Returns the list of models.
	 * @param orders the engine's orders
	 * @return the document
	 */
	static ObjectNode models(OrderBook orders) {
		ObjectNode document = object().put("object", "list");
		ArrayNode data = document.putArray("data");
		orders.versions()
			.forEach((model, version) -> data.addObject()
				.put("id", model)
				.put("object", "model")
				.put("owned_by", "engine")
				.put("version", version));
		ArrayNode adapters = document.putArray("adapters");
		orders.adapters().forEach(adapters::add);
		return document.put("role", orders.role());
	}

	/**
	 * Returns the refusal of an order with an old fencing number.
	 * @param highest the highest number seen
	 * @return the document
	 */
	static ObjectNode oldFencing(long highest) {
		ObjectNode document = error("the fencing number is below the highest seen", "old_fencing_number", "not_run");
		return document.put("highest_fencing", highest);
	}

	/**
	 * Returns the state of the memory.
	 * @param memory the state
	 * @param totalTokens the tokens of memory
	 * @return the document
	 */
	static ObjectNode memory(EngineLife.Memory memory, int totalTokens) {
		ObjectNode document = object().put("used_tokens", memory.heldTokens())
			.put("cached_tokens", memory.evictableTokens())
			.put("total_tokens", totalTokens);
		ArrayNode sessions = document.putArray("sessions");
		for (BatchingModel.PinnedSession session : memory.sessions()) {
			ObjectNode entry = sessions.addObject()
				.put("session", session.name())
				.put("tokens", session.chain().tokens());
			session.leaseEnd()
				.ifPresent((end) -> entry.put("lease_left_ms", TimeUnit.NANOSECONDS.toMillis(end - memory.now())));
		}
		return document;
	}

	/**
	 * Returns a load report.
	 * @param report the report
	 * @return the document
	 */
	static ObjectNode load(LoadReport report) {
		return object().put("running", report.running())
			.put("waiting", report.waiting())
			.put("kv_used_tokens", report.usedTokens())
			.put("kv_total_tokens", report.totalTokens())
			.put("measured_at_ms", report.measuredAtMillis());
	}

	/**
	 * Returns a page of cache events.
	 * @param page the page
	 * @param instance the engine's instance number
	 * @return the document
	 */
	static ObjectNode cacheEvents(CacheEventLog.Page page, long instance) {
		ObjectNode document = object().put("instance", instance)
			.put("next", page.next())
			.put("oldest", page.oldest())
			.put("block_tokens", BlockChain.BLOCK_TOKENS);
		ArrayNode events = document.putArray("events");
		for (CacheEvent event : page.events()) {
			events.add(cacheEvent(event));
		}
		return document;
	}

	private static ObjectNode cacheEvent(CacheEvent event) {
		ObjectNode document = object().put("seq", event.sequence()).put("block", hexadecimal(event.block()));
		return switch (event) {
			case CacheEvent.Stored stored -> document.put("type", "stored")
				.put("parent", hexadecimal(stored.parent()))
				.put("position", stored.position());
			case CacheEvent.Evicted evicted -> document.put("type", "evicted");
		};
	}

	private static String hexadecimal(long hash) {
		return HexFormat.of().toHexDigits(hash);
	}

	/**
	 * Returns the counts of work done.
	 * @param counters the counts
	 * @return the document
	 */
	static ObjectNode runs(EngineCounters counters) {
		ObjectNode document = object().put("prefilled_tokens", counters.prefilledTokens())
			.put("generated_tokens", counters.generatedTokens());
		ObjectNode runs = document.putObject("runs");
		for (Map.Entry<String, Integer> run : counters.runs().entrySet()) {
			runs.put(run.getKey(), run.getValue());
		}
		return document;
	}

}
