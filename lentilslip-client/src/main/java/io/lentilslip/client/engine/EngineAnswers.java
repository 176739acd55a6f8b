package io.lentilslip.client.engine;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.verdict.Verdict;

/**
 * The JSON documents that go to an engine and come from it. Without state, safe for use
 * by several threads.
 */
final class EngineAnswers {

	/**
	 * Reads numbers exactly, since a caller's fields are passed on.
	 */
	static final ObjectMapper JSON = JsonMapper.builder()
		.enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
		.disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
		.build();

	private static final int LOWEST_CLIENT_ERROR = 400;

	private static final int LOWEST_SERVER_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private EngineAnswers() {
	}

	/**
	 * Returns the body of a request for an answer.
	 * @param request the request
	 * @return the text of a JSON object
	 * @throws JsonProcessingException if the further fields are not a JSON object
	 */
	static String body(EngineRequest request) throws JsonProcessingException {
		ObjectNode body = JSON.readValue(request.furtherFields(), ObjectNode.class);
		body.put("model", request.model().value());
		body.putRawValue("messages", new RawValue(request.messages()));
		body.put("stream", true);
		request.maximumTokens().ifPresent((tokens) -> body.put("max_tokens", tokens));
		request.pin().ifPresent((pin) -> {
			body.put("kv_session", pin.session());
			pin.lease().ifPresent((lease) -> body.put("kv_lease_ms", lease.toMillis()));
		});
		if (request.continuesFinalMessage()) {
			body.put("continue_final_message", true);
		}
		return JSON.writeValueAsString(body);
	}

	/**
	 * Returns the body of an order.
	 * @param order the order
	 * @param fencing the fencing number of who gives it
	 * @return the text of a JSON object
	 */
	static String body(EngineOrder order, long fencing) {
		ObjectNode body = JSON.createObjectNode().put("fencing", fencing);
		return switch (order) {
			case EngineOrder.Load load ->
				body.put("order", "load").put("model", load.model().value()).put("version", load.version()).toString();
			case EngineOrder.Unload unload ->
				body.put("order", "unload").put("model", unload.model().value()).toString();
			case EngineOrder.Adapter adapter -> body.put("order", "adapter")
				.put("model", adapter.model().value())
				.put("adapter", adapter.adapter())
				.toString();
			case EngineOrder.Role role -> body.put("order", "role").put("role", role.role()).toString();
		};
	}

	/**
	 * Returns the failure that an error of the engine means. Only the engine itself can
	 * say that nothing was run, and only with a status that its protocol allows for it: a
	 * bare error may come from anything on the way after the engine took the request.
	 * @param status the HTTP status
	 * @param body the body of the answer
	 * @return the failure
	 */
	static EngineFailure rejection(int status, byte[] body) {
		JsonNode error = error(body);
		boolean mayTell = status == UNAVAILABLE || (status >= LOWEST_CLIENT_ERROR && status < LOWEST_SERVER_ERROR);
		boolean notRun = Verdict.NOT_RUN.label().equals(error.path("verdict").asText());
		Verdict verdict = (mayTell && notRun) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		String message = error.path("message").asText("HTTP status " + status);
		return new EngineFailure(verdict, new EngineFailure.Cause.Rejected(status, message));
	}

	private static JsonNode error(byte[] body) {
		try {
			return JSON.readTree(body).path("error");
		}
		catch (IOException ex) {
			return JSON.missingNode();
		}
	}

	/**
	 * Reads a load report.
	 * @param document the document
	 * @return the report
	 */
	static EngineLoad load(JsonNode document) {
		return new EngineLoad(integer(document, "running"), integer(document, "waiting"),
				number(document, "kv_used_tokens"), number(document, "kv_total_tokens"),
				Instant.ofEpochMilli(number(document, "measured_at_ms")));
	}

	/**
	 * Reads the number of an engine's start.
	 * @param document the document
	 * @return the incarnation
	 */
	static Incarnation instance(JsonNode document) {
		return new Incarnation(number(document, "instance"));
	}

	/**
	 * Reads a page of cache events.
	 * @param document the document
	 * @return the page
	 */
	static CacheEventPage cacheEvents(JsonNode document) {
		List<CacheEventPage.CacheEvent> events = new ArrayList<>();
		for (JsonNode event : document.path("events")) {
			events.add(cacheEvent(event));
		}
		return new CacheEventPage(instance(document), events, number(document, "next"), number(document, "oldest"),
				integer(document, "block_tokens"));
	}

	private static CacheEventPage.CacheEvent cacheEvent(JsonNode event) {
		long sequence = number(event, "seq");
		long block = hash(event, "block");
		return switch (event.path("type").asText()) {
			case "stored" -> new CacheEventPage.CacheEvent.Stored(sequence, block, hash(event, "parent"),
					integer(event, "position"));
			case "evicted" -> new CacheEventPage.CacheEvent.Evicted(sequence, block);
			default -> throw new IllegalArgumentException("unknown cache event: " + event.path("type"));
		};
	}

	/**
	 * Reads the state of memory.
	 * @param document the document
	 * @return the state
	 */
	static HeldMemory held(JsonNode document) {
		List<HeldMemory.HeldSession> sessions = new ArrayList<>();
		for (JsonNode session : document.path("sessions")) {
			Optional<Duration> left = session.has("lease_left_ms")
					? Optional.of(Duration.ofMillis(number(session, "lease_left_ms"))) : Optional.empty();
			sessions.add(new HeldMemory.HeldSession(session.path("session").asText(), number(session, "tokens"), left));
		}
		return new HeldMemory(sessions, number(document, "used_tokens"), number(document, "cached_tokens"),
				number(document, "total_tokens"));
	}

	private static long hash(JsonNode document, String field) {
		return HexFormat.fromHexDigitsToLong(document.path(field).asText());
	}

	private static int integer(JsonNode document, String field) {
		return Math.toIntExact(number(document, field));
	}

	/**
	 * Reads a whole number.
	 * @param document the document
	 * @param field the field's name
	 * @return the number
	 * @throws IllegalArgumentException if the field is not a whole number
	 */
	static long number(JsonNode document, String field) {
		JsonNode value = document.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new IllegalArgumentException(field + " is not a whole number");
		}
		return value.longValue();
	}

}
