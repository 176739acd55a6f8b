package io.lentilslip.client.http;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

import okhttp3.Response;

/**
 * A reader of the HTTP header {@code Retry-After} in its form of whole seconds. Safe for
 * use by several threads.
 */
public final class RetryAfter {

	/**
	 * The name of the header.
	 */
	public static final String HEADER = "Retry-After";

	private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}");

	private RetryAfter() {
	}

	/**
	 * Returns the time that an answer asks to wait.
	 * @param answer the answer
	 * @return the time to wait, or an empty result if none is stated in seconds
	 */
	public static Optional<Duration> of(Exchange.Answered answer) {
		return parse(answer.headers().get(HEADER));
	}

	/**
	 * Returns the time that an answer asks to wait.
	 * @param response the answer, whose body may still be unread
	 * @return the time to wait, or an empty result if none is stated in seconds
	 */
	public static Optional<Duration> of(Response response) {
		return parse(response.header(HEADER));
	}

	static Optional<Duration> parse(String text) {
		if (text == null || !SECONDS.matcher(text).matches()) {
			return Optional.empty();
		}
		return Optional.of(Duration.ofSeconds(Long.parseLong(text)));
	}

}
