package io.lentilslip.entry.http;

import java.util.ArrayList;
import java.util.List;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.OpenAIServiceException;
import com.openai.errors.SseException;
import com.openai.helpers.ChatCompletionAccumulator;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.chat.completions.ChatCompletionStreamOptions;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.ProgramName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * The callers' interface as a stock client sees it, which sets base URL, key and headers.
 */
class OpenAiClientTests {

	private static final String MESSAGE = """
			{"role":"assistant","content":"good day","tool_calls":[{"id":"c1","type":"function",\
			"function":{"name":"price","arguments":"{}"}}]}""";

	@Test
	void clientReadsAWholeAnswer() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of(end(event)))) {
			ChatCompletion completion = clientOf(entry).chat().completions().create(params());
			completion.validate();
			ChatCompletion.Choice choice = completion.choices().getFirst();
			assertThat(choice.message().content()).contains("good day");
			assertThat(choice.message().toolCalls().orElseThrow().getFirst().asFunction().function().name())
				.isEqualTo("price");
			assertThat(choice.finishReason()).isEqualTo(ChatCompletion.Choice.FinishReason.TOOL_CALLS);
			assertThat(completion.usage().orElseThrow().totalTokens()).isEqualTo(14);
			assertThat(entry.next(EntryEvent.CallArrived.class).submission().program())
				.contains(new ProgramName("tour"));
		}
	}

	@Test
	void clientReadsAStream() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), "good "), end(event)));
				StreamResponse<ChatCompletionChunk> stream = clientOf(entry).chat()
					.completions()
					.createStreaming(params())) {
			ChatCompletionAccumulator accumulator = ChatCompletionAccumulator.create();
			stream.stream().forEach((chunk) -> accumulator.accumulate(chunk.validate()));
			ChatCompletion.Choice choice = accumulator.chatCompletion().choices().getFirst();
			assertThat(choice.message().content()).contains("good day");
			assertThat(choice.message().toolCalls().orElseThrow().getFirst().asFunction().function().name())
				.isEqualTo("price");
			assertThat(accumulator.chatCompletion().usage().orElseThrow().completionTokens()).isEqualTo(3);
		}
	}

	// The call fails after its first text. The client must fail too: if it took the end
	// of the bytes for the end of the answer, its program would go on with half of it.
	@Test
	void clientSeesAFailureInsideAStream() {
		CallFailure failure = CallFailure.mayHaveRun(FailureCause.UPSTREAM_FAILED, "the upstream failed");
		List<ChatCompletionChunk> chunks = new ArrayList<>();
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), "good "),
					ScriptedEntry.failed(ScriptedEntry.ticketOf(event), failure)));
				StreamResponse<ChatCompletionChunk> stream = clientOf(entry).chat()
					.completions()
					.createStreaming(params())) {
			assertThatExceptionOfType(SseException.class).isThrownBy(() -> stream.stream().forEach(chunks::add))
				.withMessageContaining("the upstream failed");
		}
		assertThat(chunks).hasSize(2);
	}

	// A call that may have run is not to be repeated by the client itself, which by
	// default sends again after each answer of 5xx.
	@Test
	void clientDoesNotRepeatACallThatMayHaveRun() throws Exception {
		CallFailure failure = CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN, "the outcome is unknown");
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(ScriptedEntry.failed(ScriptedEntry.ticketOf(event), failure)))) {
			OpenAIClient client = clientOf(entry);
			assertThatExceptionOfType(OpenAIServiceException.class)
				.isThrownBy(() -> client.chat().completions().create(params()))
				.satisfies((ex) -> assertThat(ex.statusCode()).isEqualTo(502))
				.satisfies((ex) -> assertThat(ex.code()).contains("outcome_unknown"));
			assertThat(entry.next(EntryEvent.CallArrived.class).ticket()).isEqualTo(new Ticket(1));
			assertThat(entry.waiting()).isZero();
		}
	}

	private static EntryEffect end(EntryEvent event) {
		return ScriptedEntry.answered(ScriptedEntry.ticketOf(event), MESSAGE, "tool_calls");
	}

	private static OpenAIClient clientOf(ScriptedEntry entry) {
		return OpenAIOkHttpClient.builder()
			.baseUrl("http://127.0.0.1:" + entry.port().address().getPort() + "/v1")
			.apiKey("secret")
			.putHeader("Lentilslip-Program", "tour")
			.build();
	}

	private static ChatCompletionCreateParams params() {
		return ChatCompletionCreateParams.builder()
			.model("m")
			.addSystemMessage("be brief")
			.addUserMessage("hi")
			.streamOptions(ChatCompletionStreamOptions.builder().includeUsage(true).build())
			.build();
	}

}
