package io.lentilslip.client.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

import okhttp3.Headers;

/**
 * The outcome of one attempt to send an HTTP request and receive the whole answer to it.
 * Immutable and safe for use by several threads.
 */
public sealed interface Exchange {

	/**
	 * An answer that arrived whole.
	 *
	 * @param status the status of the answer
	 * @param headers the headers of the answer
	 * @param body the whole body; not copied, so neither side may change it
	 */
	record Answered(int status, Headers headers, byte[] body) implements Exchange {

		/**
		 * Creates an answer.
		 * @param status the status of the answer
		 * @param headers the headers of the answer
		 * @param body the whole body
		 */
		public Answered {
			Objects.requireNonNull(headers, "headers");
			Objects.requireNonNull(body, "body");
		}

		/**
		 * Returns a header of the answer.
		 * @param name the name of the header, in any case
		 * @return the last value of that header, or an empty result
		 */
		public Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name));
		}

		/**
		 * Returns the body as text.
		 * @return the body read as UTF-8
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * An attempt that brought no whole answer: the connection failed, time ran out, or
	 * the answer was longer than allowed.
	 *
	 * @param transmission how far the request came
	 * @param kind the way in which the attempt failed
	 * @param reason what failed, for people
	 */
	record Unanswered(Transmission transmission, FailureKind kind, String reason) implements Exchange {

		/**
		 * Creates the outcome of an attempt without a whole answer.
		 * @param transmission how far the request came
		 * @param kind the way in which the attempt failed
		 * @param reason what failed, for people
		 */
		public Unanswered {
			Objects.requireNonNull(transmission, "transmission");
			Objects.requireNonNull(kind, "kind");
			Objects.requireNonNull(reason, "reason");
		}

	}

}
