package io.lentilslip.entry.http;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.HistoryMode;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ChatRequestTests {

	private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"hi\"}]}]";

	@Test
	void unknownFieldsGoThroughToTheEngine() {
		ChatRequest request = read("{\"model\":\"m\"," + MESSAGES + ",\"tools\":[],\"n\":1,\"max_tokens\":5,"
				+ "\"stream\":true,\"stream_options\":{\"include_usage\":true},\"seed\":3}")
			.get();
		assertThat(request.payload().parameters()).isEqualTo("{\"seed\":3,\"tools\":[]}");
		assertThat(request.payload().maximumTokens()).contains(5);
		assertThat(request.payload().streamed()).isTrue();
		assertThat(request.usageIncluded()).isTrue();
	}

	// A stock client sends back an answer as it got it, with fields that have no value.
	// The
	// history never had these; compared as they are, the call would fail as a mismatch.
	@Test
	void fieldsWithoutAValueAreNoPartOfAMessage() {
		ChatRequest request = read("{\"model\":\"m\",\"messages\":[{\"role\":\"assistant\",\"content\":\"\","
				+ "\"refusal\":null,\"tool_calls\":[{\"id\":\"c\"}]},{\"role\":\"user\",\"content\":\"\"}]}")
			.get();
		assertThat(request.payload().messages()).containsExactly(
				"{\"role\":\"assistant\",\"tool_calls\":[{\"id\":\"c\"}]}", "{\"content\":\"\",\"role\":\"user\"}");
	}

	@Test
	void newerNameOfTheMaximumGoesBeforeTheOlder() {
		ChatRequest request = read("{\"model\":\"m\"," + MESSAGES + ",\"max_tokens\":5,\"max_completion_tokens\":7}")
			.get();
		assertThat(request.payload().maximumTokens()).contains(7);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '\'', value = { "{| malformed JSON", "[]| not an object",
			"{\"messages\":[]}| model", "{\"model\":7}| model", "{\"model\":\"m\"}| messages",
			"{\"model\":\"m\",\"messages\":[]}| messages", "{\"model\":\"m\",\"messages\":[7]}| messages[0]",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"king\"}]}| messages[0].role",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":7}]}| messages[0].content",
			"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\\ud83d\"}]}| half of a character" })
	void malformedRequestsAreToldApart(String body, String mentioned) {
		assertThat(read(body).getLeft().failure().message()).contains(mentioned);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '\'',
			value = { "\"n\":2| n has", "\"stream\":1| stream", "\"stream_options\":[]| stream",
					"\"max_tokens\":0| max_tokens", "\"max_tokens\":1e3| max_tokens",
					"\"max_completion_tokens\":99999999999| max_tokens" })
	void wrongTypesAreToldByField(String field, String mentioned) {
		assertThat(read("{\"model\":\"m\"," + MESSAGES + "," + field + "}").getLeft().failure().message())
			.contains(mentioned);
	}

	private static Either<HttpError, ChatRequest> read(String body) {
		return ChatRequest.read(Body.of(body), HistoryMode.WHOLE);
	}

}
