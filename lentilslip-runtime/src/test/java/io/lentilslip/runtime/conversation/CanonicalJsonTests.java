package io.lentilslip.runtime.conversation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CanonicalJsonTests {

	@Test
	void writesEqualValuesAlikeWhateverTheirFieldsOrder() throws JsonProcessingException {
		JsonNode one = read("{\"b\": [{\"d\": 1, \"c\": \"x\"}], \"a\": null}");
		JsonNode other = read("{\"a\":null,\"b\":[{\"c\":\"x\",\"d\":1}]}");
		assertThat(CanonicalJson.text(one)).isEqualTo(CanonicalJson.text(other))
			.isEqualTo("{\"a\":null,\"b\":[{\"c\":\"x\",\"d\":1}]}");
	}

	@Test
	void keepsTheOrderOfItems() throws JsonProcessingException {
		assertThat(CanonicalJson.text(read("[2, 1]"))).isEqualTo("[2,1]");
	}

	// A stock client asks, gets an answer with tool calls, and sends the conversation
	// back
	// with fields of its own that have no value. If they counted, the second call of each
	// such program would be refused, since its messages did not match the history.
	@Test
	void leavesOutOfMessagesWhatHasNoValue() throws JsonProcessingException {
		JsonNode held = read("{\"role\":\"assistant\",\"tool_calls\":[{\"id\":\"1\"}]}");
		JsonNode sent = read(
				"{\"content\":\"\",\"refusal\":null,\"role\":\"assistant\",\"tool_calls\":[{\"id\":\"1\"}]}");
		assertThat(CanonicalJson.messageText(sent)).isEqualTo(CanonicalJson.messageText(held));
	}

	@Test
	void keepsAnEmptyAnswer() throws JsonProcessingException {
		JsonNode empty = read("{\"role\":\"assistant\",\"content\":\"\"}");
		assertThat(CanonicalJson.messageText(empty)).isEqualTo("{\"content\":\"\",\"role\":\"assistant\"}");
	}

	private static JsonNode read(String json) throws JsonProcessingException {
		return new ObjectMapper().readTree(json);
	}

}
