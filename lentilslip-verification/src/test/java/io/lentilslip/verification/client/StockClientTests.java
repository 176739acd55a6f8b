package io.lentilslip.verification.client;

import java.nio.file.Path;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.OpenAIServiceException;
import com.openai.helpers.ChatCompletionAccumulator;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.Http;
import io.lentilslip.verification.process.ProcessLogs;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * The whole path from a stock client through an entry and a sidecar to an engine, each a
 * process of its own.
 */
class StockClientTests {

	private static final int WORDS = 24;

	@TempDir
	private static Path folder;

	private static Site site;

	@RegisterExtension
	private final ProcessLogs logs = new ProcessLogs(() -> site);

	@BeforeAll
	static void start() {
		site = Site.start(folder, SitePlan.of(2, 2, 1));
	}

	@AfterAll
	static void stop() {
		site.close();
	}

	@Test
	void wholeAnswer() {
		ChatCompletion completion = client("whole").chat().completions().create(params("say something [[tokens:24]]"));
		completion.validate();
		ChatCompletion.Choice choice = completion.choices().getFirst();
		assertThat(choice.message().content().orElseThrow().strip().split(" ")).hasSize(WORDS);
		assertThat(choice.finishReason()).isEqualTo(ChatCompletion.Choice.FinishReason.STOP);
		assertThat(completion.usage().orElseThrow().completionTokens()).isEqualTo(WORDS);
	}

	@Test
	void streamedAnswerHasTheTextOfTheWholeOne() {
		String whole = client("as-whole").chat()
			.completions()
			.create(params("the same [[tokens:24]]"))
			.choices()
			.getFirst()
			.message()
			.content()
			.orElseThrow();
		ChatCompletionAccumulator accumulator = ChatCompletionAccumulator.create();
		try (StreamResponse<ChatCompletionChunk> stream = client("as-stream").chat()
			.completions()
			.createStreaming(params("the same [[tokens:24]]"))) {
			stream.stream().forEach((chunk) -> accumulator.accumulate(chunk.validate()));
		}
		assertThat(accumulator.chatCompletion().choices().getFirst().message().content()).contains(whole);
	}

	@Test
	void toolCallAndItsResult() {
		String question = "[[tool:price {\"berth\":7}]] how much? [[tokens:24]]";
		ChatCompletion first = client("tools").chat().completions().create(params(question));
		ChatCompletion.Choice choice = first.choices().getFirst();
		assertThat(choice.finishReason()).isEqualTo(ChatCompletion.Choice.FinishReason.TOOL_CALLS);
		var call = choice.message().toolCalls().orElseThrow().getFirst().asFunction();
		assertThat(call.function().name()).isEqualTo("price");
		assertThat(Http.json(call.function().arguments()).path("berth").asInt()).isEqualTo(7);
		ChatCompletionCreateParams next = params(question).toBuilder()
			.addMessage(choice.message())
			.addMessage(com.openai.models.chat.completions.ChatCompletionToolMessageParam.builder()
				.toolCallId(call.id())
				.content("40 a night")
				.build())
			.build();
		ChatCompletion second = client("tools").chat().completions().create(next);
		assertThat(second.choices().getFirst().finishReason()).isEqualTo(ChatCompletion.Choice.FinishReason.STOP);
	}

	@Test
	void errorNamesItsCodeAndVerdict() {
		OpenAIClient stranger = builder("none").apiKey("not-a-key").build();
		assertThatExceptionOfType(OpenAIServiceException.class)
			.isThrownBy(() -> stranger.chat().completions().create(params("hi")))
			.satisfies((ex) -> assertThat(ex.statusCode()).isEqualTo(401))
			.satisfies((ex) -> assertThat(ex.code()).contains("unauthorized"));
		assertThatExceptionOfType(OpenAIServiceException.class)
			.isThrownBy(() -> client("none").chat()
				.completions()
				.create(params("hi").toBuilder().model("no-such-model").build()))
			.satisfies((ex) -> assertThat(ex.statusCode()).isEqualTo(404));
	}

	// The common use of a stock client: it sends the whole conversation with each turn,
	// the answers as it got them. They are then compared with the history held, which the
	// sidecar wrote and not the client, and must be found the same.
	@Test
	void conversationSentWhole() {
		ChatCompletionCreateParams.Builder conversation = params(question(1)).toBuilder();
		for (int turn = 1; turn <= 3; turn++) {
			ChatCompletion completion = client("whole-turns").chat().completions().create(conversation.build());
			assertThat(completion._additionalProperties().get("lentilslip"))
				.hasToString("{program=whole-turns, call=" + turn + ", durability=committed}");
			conversation.addMessage(completion.choices().getFirst().message()).addUserMessage(question(turn + 1));
		}
	}

	// A program leaves its history to the system and sends each turn through another
	// entry. Each answer must be that to the whole conversation: the engine's text
	// depends on every message before it.
	@Test
	void historyLeftToTheSystem() {
		ChatCall conversation = ChatCall.of(question(1));
		for (int turn = 1; turn <= 4; turn++) {
			String text = question(turn);
			var answer = site.caller().chat(site.entry(1 + turn % 2), ChatCall.of(text).turn("kept", turn));
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.headers().firstValue("Lentilslip-Durability")).contains("committed");
			String content = content(answer.body());
			assertThat(content).isEqualTo(content(site.caller().chat(site.entry(1), conversation).body()));
			conversation = conversation.then("assistant", content).then("user", question(turn + 1));
		}
		assertThat(Http.json(site.caller().show(site.entry(1), "kept")).toString()).contains(question(4));
	}

	private static String question(int turn) {
		return "turn " + turn + " [[tokens:24]]";
	}

	private static String content(String body) {
		return Http.json(body).path("choices").path(0).path("message").path("content").asText();
	}

	private static OpenAIClient client(String program) {
		return builder(program).apiKey(site.caller().key()).build();
	}

	private static OpenAIOkHttpClient.Builder builder(String program) {
		return OpenAIOkHttpClient.builder()
			.baseUrl("http://127.0.0.1:" + site.entry(1).work().getPort() + "/v1")
			.putHeader("Lentilslip-Program", program);
	}

	private static ChatCompletionCreateParams params(String text) {
		return ChatCompletionCreateParams.builder().model(Site.MODEL).addUserMessage(text).build();
	}

}
