package io.lentilslip.standin.engine;

import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ConversationTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	@Property(tries = 200, seed = "20261202")
	void continuedAnswerHasExactlyTheSameRest(@ForAll @IntRange(min = 1, max = 60) int length,
			@ForAll @IntRange(min = 0, max = 60) int given) {
		ArrayNode messages = JSON.createArrayNode();
		messages.addObject().put("role", "user").put("content", "Draft a listing [[tokens:" + length + "]]");
		AnswerPlan whole = Conversation.read(messages, false).answer(OptionalInt.empty());
		int cut = Math.min(given, length);
		messages.addObject().put("role", "assistant").put("content", text(whole, 0, cut));
		AnswerPlan rest = Conversation.read(messages, true).answer(OptionalInt.empty());
		assertThat(text(whole, 0, cut) + text(rest, rest.from(), rest.count())).isEqualTo(text(whole, 0, length));
	}

	@Test
	void promptOfTheNextTurnBeginsWithAllThatWasComputed() {
		ArrayNode messages = JSON.createArrayNode();
		messages.addObject().put("role", "user").put("content", "Hello [[tokens:40]]");
		Conversation first = Conversation.read(messages, false);
		AnswerPlan answer = first.answer(OptionalInt.empty());
		BlockChain computed = first.prompt().copy();
		for (int i = 0; i < answer.count(); i++) {
			computed.append(answer.token(i));
		}
		messages.addObject().put("role", "assistant").put("content", text(answer, 0, answer.count()));
		messages.addObject().put("role", "user").put("content", "Go on");
		BlockChain next = Conversation.read(messages, false).prompt();
		assertThat(computed.fullBlocks()).isPositive();
		for (int i = 0; i < computed.fullBlocks(); i++) {
			assertThat(next.hash(i)).isEqualTo(computed.hash(i));
		}
	}

	@Test
	void eachRoundOfToolCallsTakesTheNextMark() throws JsonProcessingException {
		String user = "{'role':'user','content':'[[tool:price {\\'berth\\':[[1]]}]] [[tool:ping]] then text'}";
		String round = ",{'role':'assistant','content':null,'tool_calls':[{'function':{'name':'x','arguments':'{}'}}]},"
				+ "{'role':'tool','content':'done'}";
		assertThat(answer(user).toolCall()).contains(new ToolCall("price", "{\"berth\":[[1]]}"));
		assertThat(answer(user + round).toolCall()).contains(new ToolCall("ping", "{}"));
		assertThat(answer(user + round + round).toolCall()).isEmpty();
	}

	@Test
	void lengthComesFromTheMarkWithinTheMaximum() throws JsonProcessingException {
		Conversation marked = Conversation.read(messages("{'role':'user','content':'[[tokens:10]]'}"), false);
		assertThat(marked.answer(OptionalInt.of(4)).count()).isEqualTo(4);
		assertThat(marked.answer(OptionalInt.of(4)).finishReason()).isEqualTo("length");
		assertThat(marked.answer(OptionalInt.of(40)).finishReason()).isEqualTo("stop");
		assertThat(answer("{'role':'user','content':'x'}").count()).isEqualTo(Conversation.DEFAULT_ANSWER_TOKENS);
	}

	@Test
	void conversationsThatDifferHaveOtherAnswers() throws JsonProcessingException {
		assertThat(answer("{'role':'user','content':'a b'}").seed())
			.isNotEqualTo(answer("{'role':'user','content':'a'},{'role':'user','content':'b'}").seed());
	}

	@Test
	void refusesMessagesThatAreNone() throws JsonProcessingException {
		JsonNode unnamed = messages("{'content':'x'}");
		assertThatExceptionOfType(RejectedRequestException.class).isThrownBy(() -> Conversation.read(unnamed, false))
			.withMessage("each message must have a role");
	}

	@Test
	void tokensJoinedAreTheText() {
		String text = "  two  words\nand a tail ";
		assertThat(EngineTokens.split(text)).hasSize(5);
		assertThat(String.join("", EngineTokens.split(text))).isEqualTo(text);
	}

	private static AnswerPlan answer(String messages) throws JsonProcessingException {
		return Conversation.read(messages(messages), false).answer(OptionalInt.empty());
	}

	private static JsonNode messages(String messages) throws JsonProcessingException {
		return JSON.readTree("[" + messages.replace("\\'", "\\\"").replace("'", "\"") + "]");
	}

	private static String text(AnswerPlan plan, int from, int count) {
		StringBuilder text = new StringBuilder();
		for (int i = from; i < from + count; i++) {
			text.append(plan.token(i));
		}
		return text.toString();
	}

}
