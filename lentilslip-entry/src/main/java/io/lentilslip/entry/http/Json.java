package io.lentilslip.entry.http;

import java.io.IOException;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

/**
 * JSON texts, read strictly and written in one canonical form. Histories are compared by
 * the digests of their messages, so two messages that mean the same must have the same
 * text: fields stand in the order of their names, without blanks. A field that stands
 * twice is refused, as two readers might take different ones. Safe for use by several
 * threads.
 */
final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
		.build();

	private Json() {
	}

	/**
	 * Returns a new object without fields.
	 * @return the object
	 */
	static ObjectNode object() {
		return JsonNodeFactory.instance.objectNode();
	}

	/**
	 * Returns the object that bytes hold.
	 * @param bytes the bytes
	 * @return the object, or a sentence that tells why there is none
	 */
	static Either<String, ObjectNode> readObject(byte[] bytes) {
		try {
			return asObject(MAPPER.readTree(bytes));
		}
		catch (JsonProcessingException ex) {
			return Either.left(describe(ex));
		}
		catch (IOException ex) {
			return Either.left("the JSON text can't be read");
		}
	}

	/**
	 * Returns the object that a text of an upstream holds.
	 * @param text the text
	 * @return the object, or an empty result
	 */
	static Optional<ObjectNode> readObject(String text) {
		return readObject(text.getBytes(StandardCharsets.UTF_8)).toJavaOptional();
	}

	private static Either<String, ObjectNode> asObject(JsonNode node) {
		return (node instanceof ObjectNode object) ? Either.right(object)
				: Either.left("the JSON text is not an object");
	}

	private static String describe(JsonProcessingException ex) {
		if (ex.getLocation() == null) {
			return "malformed JSON";
		}
		return "malformed JSON at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr();
	}

	/**
	 * Returns whether a text has the same characters after a way through UTF-8. A lone
	 * half of a character outside the basic plane has not: it would become a question
	 * mark, and two different messages one.
	 * @param text the text
	 * @return whether UTF-8 can hold the text
	 */
	static boolean isEncodable(String text) {
		return StandardCharsets.UTF_8.newEncoder().canEncode(CharBuffer.wrap(text));
	}

}
