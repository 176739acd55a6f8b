package io.lentilslip.standin.http;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.StatusCode;

/**
 * A reader and writer of JSON bodies. Safe for use by several threads.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	/**
	 * Returns the body of a request.
	 * @param context the request
	 * @return the body, or an empty result if it is no JSON object or array
	 */
	public static Optional<JsonNode> read(Context context) {
		try {
			return Optional.ofNullable(MAPPER.readTree(context.body().bytes())).filter(JsonNode::isContainerNode);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Answers a request by 200.
	 * @param context the request
	 * @param body a value whose fields make up the body
	 * @return the request
	 */
	public static Context send(Context context, Object body) {
		return send(context, StatusCode.OK, body);
	}

	/**
	 * Answers a request by an error.
	 * @param context the request
	 * @param status the status
	 * @param message what is wrong, for people
	 * @return the request
	 */
	public static Context sendError(Context context, StatusCode status, String message) {
		return send(context, status, Map.of("error", message));
	}

	private static Context send(Context context, StatusCode status, Object body) {
		return context.setResponseCode(status).setResponseType(MediaType.json).send(write(body));
	}

	private static byte[] write(Object body) {
		try {
			return MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not a value that JSON can hold", ex);
		}
	}

}
