package io.lentilslip.client.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * A reader of answers in JSON. Unknown fields are passed over, so that a service may add
 * some; a missing field makes the answer unreadable. Safe for use by several threads.
 */
public final class JsonAnswers {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private JsonAnswers() {
	}

	/**
	 * Returns the value that an answer's body describes.
	 * @param answer the answer
	 * @param type the type of the value
	 * @param <T> the type of the value
	 * @return the value, or an empty result if the body does not describe one
	 */
	public static <T> Optional<T> read(Exchange.Answered answer, Class<T> type) {
		try {
			return Optional.ofNullable(MAPPER.readValue(answer.body(), type));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
