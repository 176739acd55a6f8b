package io.lentilslip.standin.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The messages of a request, read as an engine reads them. The text of the last message
 * of the user directs the answer: {@code [[tokens:N]]} its length, {@code [[tool:NAME
 * {json}]]} a tool call (the n-th such mark in the n-th round of calls),
 * {@code [[crash]]} a crash. Safe for use by several threads as long as nobody appends to
 * the prompt.
 *
 * @param prompt the tokens before the first one to generate
 * @param seed the digest of all messages but a partial answer at the end
 * @param answered the tokens of the partial answer at the end
 * @param directions the text of the last message of the user
 * @param toolRounds the rounds of tool calls since that message
 */
record Conversation(BlockChain prompt, long seed, int answered, String directions, int toolRounds) {

	/**
	 * The tokens of an answer for which nothing else is said.
	 */
	static final int DEFAULT_ANSWER_TOKENS = 24;

	private static final Pattern LENGTH = Pattern.compile("\\[\\[tokens:(\\d{1,7})\\]\\]");

	private static final Pattern TOOL = Pattern.compile("\\[\\[tool:([A-Za-z0-9_-]{1,64})\\s*");

	private static final String CRASH = "[[crash]]";

	private static final String ASSISTANT = "assistant";

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Reads a conversation.
	 * @param messages the field {@code messages} of a request
	 * @param continues whether the last message is an answer to be continued
	 * @return the conversation
	 * @throws RejectedRequestException if it does not keep to the protocol
	 */
	static Conversation read(JsonNode messages, boolean continues) {
		if (!messages.isArray() || messages.isEmpty()) {
			throw RejectedRequestException.invalid("messages must be a list with at least one message");
		}
		Reader reader = new Reader();
		int complete = continues ? messages.size() - 1 : messages.size();
		for (int i = 0; i < complete; i++) {
			reader.message(messages.get(i));
		}
		return reader.end(continues ? messages.get(complete) : null);
	}

	/**
	 * Returns whether this conversation asks the engine to crash.
	 * @return whether the mark is there
	 */
	boolean crashes() {
		return this.directions.contains(CRASH);
	}

	/**
	 * Returns the answer to this conversation.
	 * @param maximumTokens the most tokens to generate, if the caller said so
	 * @return the answer
	 */
	AnswerPlan answer(OptionalInt maximumTokens) {
		Optional<ToolCall> call = (this.answered > 0) ? Optional.empty() : toolCall();
		if (call.isPresent()) {
			return new AnswerPlan(this.seed, 0, call.get().tokens().size(), "tool_calls", call);
		}
		OptionalInt directed = directedTokens();
		if (directed.isEmpty() && maximumTokens.isPresent()) {
			return text(maximumTokens.getAsInt(), "length");
		}
		int rest = Math.max(0, directed.orElse(DEFAULT_ANSWER_TOKENS) - this.answered);
		int maximum = maximumTokens.orElse(Integer.MAX_VALUE);
		return (rest <= maximum) ? text(rest, "stop") : text(maximum, "length");
	}

	private AnswerPlan text(int count, String finishReason) {
		return new AnswerPlan(this.seed, this.answered, count, finishReason, Optional.empty());
	}

	private OptionalInt directedTokens() {
		Matcher matcher = LENGTH.matcher(this.directions);
		return matcher.find() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
	}

	private Optional<ToolCall> toolCall() {
		Matcher matcher = TOOL.matcher(this.directions);
		for (int i = 0; i <= this.toolRounds; i++) {
			if (!matcher.find()) {
				return Optional.empty();
			}
		}
		return Optional.of(new ToolCall(matcher.group(1), arguments(this.directions.substring(matcher.end()))));
	}

	private static String arguments(String text) {
		if (!text.startsWith("{")) {
			return "{}";
		}
		try (JsonParser parser = JSON.createParser(text)) {
			return JSON.readTree(parser).toString();
		}
		catch (JacksonException ex) {
			throw RejectedRequestException.invalid("the arguments of a [[tool:...]] mark must be a JSON object");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static final class Reader {

		private final BlockChain prompt = BlockChain.empty();

		private long seed;

		private String directions = "";

		private int toolRounds;

		private void message(JsonNode message) {
			String role = role(message);
			String text = text(message.path("content"));
			JsonNode calls = message.path("tool_calls");
			this.seed = AnswerPlan
				.digest(JSON.createArrayNode().add(this.seed).add(role).add(text).add(calls.toString()).toString());
			this.prompt.append(marker(role));
			append(text);
			for (JsonNode call : calls) {
				append(call.at("/function/name").asText() + " " + call.at("/function/arguments").asText());
			}
			if (role.equals("user")) {
				this.directions = text;
				this.toolRounds = 0;
			}
			if (role.equals(ASSISTANT) && !calls.isEmpty()) {
				this.toolRounds++;
			}
		}

		private Conversation end(JsonNode partial) {
			this.prompt.append(marker(ASSISTANT));
			int answered = 0;
			if (partial != null) {
				if (!role(partial).equals(ASSISTANT)) {
					throw RejectedRequestException
						.invalid("with continue_final_message the last message must be the assistant's");
				}
				answered = append(text(partial.path("content")));
			}
			return new Conversation(this.prompt, this.seed, answered, this.directions, this.toolRounds);
		}

		private int append(String text) {
			List<String> tokens = EngineTokens.split(text);
			tokens.forEach(this.prompt::append);
			return tokens.size();
		}

		private static String marker(String role) {
			return "<|" + role + "|>";
		}

		private static String role(JsonNode message) {
			JsonNode role = message.path("role");
			if (!role.isTextual()) {
				throw RejectedRequestException.invalid("each message must have a role");
			}
			return role.textValue();
		}

		private static String text(JsonNode content) {
			if (content.isTextual()) {
				return content.textValue();
			}
			if (content.isMissingNode() || content.isNull()) {
				return "";
			}
			if (!content.isArray()) {
				throw RejectedRequestException.invalid("content must be a text, a list of parts or null");
			}
			List<String> parts = new ArrayList<>();
			content.forEach((part) -> parts.add(part.path("text").asText(part.toString())));
			return String.join(" ", parts);
		}

	}

}
