package io.lentilslip.entry.http;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.Header;

/**
 * A whole HTTP answer. Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param headers the headers, except those of the connection and of the body's length
 * @param body the body
 */
record HttpAnswer(int status, List<Header> headers, Body body) {

	/**
	 * The status of a request that succeeded.
	 */
	static final int OK = 200;

	/**
	 * Creates an answer.
	 * @param status the HTTP status
	 * @param headers the headers, except those of the connection and of the body's length
	 * @param body the body
	 */
	HttpAnswer {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns an answer with a JSON body.
	 * @param status the HTTP status
	 * @param headers the headers besides that of the body's type
	 * @param json the body
	 * @return the answer
	 */
	static HttpAnswer ofJson(int status, List<Header> headers, JsonNode json) {
		List<Header> all = new ArrayList<>(headers);
		all.add(new Header("Content-Type", "application/json"));
		return new HttpAnswer(status, all, Body.of(json.toString()));
	}

	/**
	 * Returns an answer with a text body.
	 * @param contentType the type of the body
	 * @param text the body
	 * @return the answer
	 */
	static HttpAnswer ofText(String contentType, String text) {
		return new HttpAnswer(OK, List.of(new Header("Content-Type", contentType)), Body.of(text));
	}

}
