package io.lentilslip.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.entry.Payload;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.runtime.conversation.CanonicalJson;
import io.vavr.control.Either;

/**
 * The body of a chat completion request. Fields that mean nothing to this system go
 * through to the engine. Immutable and safe for use by several threads.
 *
 * @param payload the call of the model
 * @param usageIncluded whether a stream ends with the tokens taken
 */
record ChatRequest(Payload.ForModel payload, boolean usageIncluded) {

	private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool", "function");

	private static final Set<String> OWN_FIELDS = Set.of("model", "messages", "stream", "stream_options", "max_tokens",
			"max_completion_tokens", "n");

	private static final List<Function<ObjectNode, Optional<String>>> CHECKS = List.of(ChatRequest::checkModel,
			ChatRequest::checkMessages, ChatRequest::checkStream, ChatRequest::checkMaximum, ChatRequest::checkChoices);

	/**
	 * Returns the request that a body holds.
	 * @param body the body
	 * @param mode how its messages relate to the history
	 * @return the request, or the error to answer with
	 */
	static Either<HttpError, ChatRequest> read(Body body, HistoryMode mode) {
		return Json.readObject(body.toBytes())
			.flatMap(ChatRequest::check)
			.map((root) -> from(root, mode))
			.mapLeft(HttpError::invalid);
	}

	private static Either<String, ObjectNode> check(ObjectNode root) {
		for (Function<ObjectNode, Optional<String>> check : CHECKS) {
			Optional<String> problem = check.apply(root);
			if (problem.isPresent()) {
				return Either.left(problem.get());
			}
		}
		return Either.right(root);
	}

	private static Optional<String> checkModel(ObjectNode root) {
		return problemUnless(ModelName.parse(root.path("model").textValue()).isPresent(),
				"model has to be the name of a model");
	}

	private static Optional<String> checkMessages(ObjectNode root) {
		JsonNode messages = root.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			return Optional.of("messages has to be an array of one message or more");
		}
		for (int index = 0; index < messages.size(); index++) {
			Optional<String> problem = checkMessage(messages.get(index));
			if (problem.isPresent()) {
				return Optional.of("messages[" + index + "]" + problem.get());
			}
		}
		return Optional.empty();
	}

	private static Optional<String> checkMessage(JsonNode message) {
		if (!message.isObject()) {
			return Optional.of(" has to be an object");
		}
		if (!message.path("role").isTextual() || !ROLES.contains(message.path("role").textValue())) {
			return Optional.of(".role has to be system, developer, user, assistant, tool or function");
		}
		JsonNode content = message.path("content");
		if (!isAbsent(content) && !content.isTextual() && !content.isArray()) {
			return Optional.of(".content has to be a string, null or an array of parts");
		}
		return problemUnless(Json.isEncodable(message.toString()), " has half of a character that takes two");
	}

	private static Optional<String> checkStream(ObjectNode root) {
		JsonNode options = root.path("stream_options");
		JsonNode usage = options.path("include_usage");
		boolean valid = isFlag(root.path("stream")) && (isAbsent(options) || options.isObject()) && isFlag(usage);
		return problemUnless(valid, "stream and stream_options.include_usage have to be true or false");
	}

	private static Optional<String> checkMaximum(ObjectNode root) {
		boolean valid = isMaximum(root.path("max_tokens")) && isMaximum(root.path("max_completion_tokens"));
		return problemUnless(valid, "max_tokens and max_completion_tokens have to be whole numbers from 1");
	}

	private static Optional<String> checkChoices(ObjectNode root) {
		JsonNode choices = root.path("n");
		boolean one = isAbsent(choices) || (choices.isIntegralNumber() && choices.longValue() == 1);
		return problemUnless(one, "n has to be 1: a call has one answer");
	}

	private static Optional<String> problemUnless(boolean valid, String problem) {
		return valid ? Optional.empty() : Optional.of(problem);
	}

	private static boolean isAbsent(JsonNode node) {
		return node.isMissingNode() || node.isNull();
	}

	private static boolean isFlag(JsonNode node) {
		return isAbsent(node) || node.isBoolean();
	}

	private static boolean isMaximum(JsonNode node) {
		return isAbsent(node) || (node.isIntegralNumber() && node.canConvertToInt() && node.intValue() > 0);
	}

	private static ChatRequest from(ObjectNode root, HistoryMode mode) {
		List<String> messages = new ArrayList<>();
		root.path("messages").forEach((message) -> messages.add(CanonicalJson.messageText(message)));
		ObjectNode parameters = root.deepCopy().without(OWN_FIELDS);
		Payload.ForModel payload = new Payload.ForModel(new ModelName(root.path("model").textValue()), mode, messages,
				maximum(root), CanonicalJson.text(parameters), root.path("stream").booleanValue());
		return new ChatRequest(payload, root.path("stream_options").path("include_usage").booleanValue());
	}

	private static Optional<Integer> maximum(ObjectNode root) {
		return Optional.of(root.path("max_completion_tokens"))
			.filter(JsonNode::isNumber)
			.or(() -> Optional.of(root.path("max_tokens")).filter(JsonNode::isNumber))
			.map(JsonNode::intValue);
	}

}
