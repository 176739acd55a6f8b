package io.lentilslip.standin.engine;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request for an answer, as it came over HTTP. Immutable but for the prompt's chain,
 * which nobody appends to.
 *
 * @param model the name of the model
 * @param conversation the messages
 * @param maximumTokens the most tokens to generate, if the caller said so
 * @param streamed whether the answer is sent token by token
 * @param pin whether and how long the sequence stays in memory
 * @param survivesDisconnect whether the request goes on when its caller disconnects
 */
record ChatRequest(String model, Conversation conversation, OptionalInt maximumTokens, boolean streamed,
		Optional<ModelRequest.Pin> pin, boolean survivesDisconnect) {

	private static final int MAXIMUM_SESSION_LENGTH = 256;

	/**
	 * Reads a request.
	 * @param body the body of the HTTP request
	 * @return the request
	 * @throws RejectedRequestException if it does not keep to the protocol
	 */
	static ChatRequest read(JsonNode body) {
		if (!body.path("model").isTextual()) {
			throw RejectedRequestException.invalid("model must be the name of a model");
		}
		Conversation conversation = Conversation.read(body.path("messages"),
				body.path("continue_final_message").asBoolean());
		return new ChatRequest(body.path("model").textValue(), conversation, maximumTokens(body.path("max_tokens")),
				body.path("stream").asBoolean(), pin(body), survivesDisconnect(body.path("on_disconnect")));
	}

	private static OptionalInt maximumTokens(JsonNode field) {
		if (field.isMissingNode() || field.isNull()) {
			return OptionalInt.empty();
		}
		if (!field.canConvertToInt() || field.intValue() < 0) {
			throw RejectedRequestException.invalid("max_tokens must be a whole number not below 0");
		}
		return OptionalInt.of(field.intValue());
	}

	private static Optional<ModelRequest.Pin> pin(JsonNode body) {
		JsonNode session = body.path("kv_session");
		if (session.isMissingNode() || session.isNull()) {
			return Optional.empty();
		}
		JsonNode lease = body.path("kv_lease_ms");
		Optional<Long> leaseMillis = lease.isNumber() ? Optional.of(lease.longValue()) : Optional.empty();
		return Optional.of(pin(session.asText(), leaseMillis));
	}

	/**
	 * Returns the wish to pin a session.
	 * @param session the session's name
	 * @param leaseMillis the milliseconds of its lease, if it has one
	 * @return the wish
	 * @throws RejectedRequestException if the name or the lease is not allowed
	 */
	static ModelRequest.Pin pin(String session, Optional<Long> leaseMillis) {
		if (session.isEmpty() || session.length() > MAXIMUM_SESSION_LENGTH) {
			throw RejectedRequestException
				.invalid("a session's name must have 1 to " + MAXIMUM_SESSION_LENGTH + " characters");
		}
		if (leaseMillis.filter((millis) -> millis < 1).isPresent()) {
			throw RejectedRequestException.invalid("a lease must be above 0 ms");
		}
		return new ModelRequest.Pin(session, leaseMillis.map(TimeUnit.MILLISECONDS::toNanos));
	}

	private static boolean survivesDisconnect(JsonNode field) {
		return switch (field.asText("cancel")) {
			case "continue" -> true;
			case "cancel" -> false;
			default -> throw RejectedRequestException.invalid("on_disconnect must be cancel or continue");
		};
	}

}
