package io.lentilslip.entry.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.verdict.Verdict;

/**
 * A failure in the shape that OpenAI clients read, with the verdict beside it. Immutable
 * and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param failure the failure
 */
record HttpError(int status, CallFailure failure) {

	private static final int REQUEST_TIMEOUT = 408;

	private static final int HEADERS_TOO_LARGE = 431;

	private static final Duration SHORTLY = Duration.ofSeconds(1);

	/**
	 * Returns the error of a failure, with the status of its cause.
	 * @param failure the failure
	 * @return the error
	 */
	static HttpError of(CallFailure failure) {
		return new HttpError(failure.cause().status(), failure);
	}

	/**
	 * Returns the error of a request that makes no sense.
	 * @param message a sentence for the caller
	 * @return the error
	 */
	static HttpError invalid(String message) {
		return of(CallFailure.notRun(FailureCause.INVALID, message));
	}

	/**
	 * Returns the error of a request that was refused as the process has enough to do.
	 * @param message a sentence for the caller
	 * @return the error
	 */
	static HttpError busy(String message) {
		return of(CallFailure.notRun(FailureCause.QUEUE_FULL, message).retryAfter(SHORTLY));
	}

	/**
	 * Returns the error of a request that did not arrive whole in time.
	 * @return the error
	 */
	static HttpError tooSlow() {
		CallFailure failure = CallFailure.notRun(FailureCause.INVALID, "the request did not arrive whole in time");
		return new HttpError(REQUEST_TIMEOUT, failure);
	}

	/**
	 * Returns the error of a request whose line or headers are too long.
	 * @return the error
	 */
	static HttpError headersTooLarge() {
		CallFailure failure = CallFailure.notRun(FailureCause.TOO_LARGE, "the request's headers are too large");
		return new HttpError(HEADERS_TOO_LARGE, failure);
	}

	/**
	 * Returns the error of a request whose body is too long.
	 * @param limit the most bytes
	 * @return the error
	 */
	static HttpError bodyTooLarge(int limit) {
		String message = "the request's body is larger than " + limit + " bytes";
		return of(CallFailure.notRun(FailureCause.TOO_LARGE, message));
	}

	/**
	 * Returns the JSON text of this error.
	 * @return an object with the fields {@code error} and {@code verdict}
	 */
	ObjectNode toJson() {
		ObjectNode root = Json.object();
		ObjectNode error = root.putObject("error");
		error.put("message", this.failure.message());
		error.put("type", type());
		error.putNull("param");
		error.put("code", this.failure.cause().name().toLowerCase(Locale.ROOT));
		root.put("verdict", this.failure.verdict().label());
		return root;
	}

	/**
	 * Returns the HTTP answer of this error.
	 * @return the answer
	 */
	HttpAnswer toAnswer() {
		List<Header> headers = new ArrayList<>();
		headers.add(new Header("x-should-retry", Boolean.toString(isWorthRetrying())));
		this.failure.retryAfter().ifPresent((delay) -> headers.add(new Header("Retry-After", seconds(delay))));
		if (this.failure.cause() == FailureCause.STOPPING) {
			headers.add(new Header("Connection", "close"));
		}
		return HttpAnswer.ofJson(this.status, headers, toJson());
	}

	// Stock clients repeat 408, 409, 429 and 5xx by themselves unless told otherwise. A
	// call that may have run would then run twice without its caller's doing.
	private boolean isWorthRetrying() {
		return this.failure.cause().isTransient() && this.failure.verdict() == Verdict.NOT_RUN;
	}

	private static String seconds(Duration delay) {
		long whole = delay.plusSeconds(1).minusNanos(1).toSeconds();
		return Long.toString(Math.max(1, whole));
	}

	private String type() {
		return switch (this.failure.cause()) {
			case UNAUTHORIZED -> "authentication_error";
			case FORBIDDEN -> "permission_error";
			case BUDGET_EXHAUSTED -> "insufficient_quota";
			case QUEUE_FULL -> "rate_limit_error";
			default -> (this.status < 500) ? "invalid_request_error" : "server_error";
		};
	}

}
