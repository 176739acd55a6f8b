package io.lentilslip.entry.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.entry.Payload;
import io.lentilslip.core.entry.Submission;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ProgramName;
import io.vavr.control.Either;

/**
 * What the headers of a request say of the call. A header that is malformed or stands
 * twice is refused rather than left out: a caller whose key or number went unread would
 * believe in a protection that it does not have. Immutable and safe for use by several
 * threads.
 *
 * @param caller the digest of the key that the caller showed
 * @param program the program, if the caller named one
 * @param parent the program whose sub-agent it is, if the caller named one
 * @param number the number of the call in its program, if the caller gave one
 * @param key the idempotency key, if the caller gave one
 * @param timeLeft the time that the caller waits, if it said so
 * @param mode how the messages relate to the history
 */
record CallHeaders(Digest caller, Optional<ProgramName> program, Optional<ProgramName> parent, Optional<Integer> number,
		Optional<IdempotencyKey> key, Optional<Duration> timeLeft, HistoryMode mode) {

	/**
	 * The header that names the program.
	 */
	static final String PROGRAM = "Lentilslip-Program";

	/**
	 * The header that has the number of the call in its program.
	 */
	static final String CALL = "Lentilslip-Call";

	private static final String PARENT = "Lentilslip-Parent";

	private static final String HISTORY = "Lentilslip-History";

	private static final String KEY = "Idempotency-Key";

	private static final String DEADLINE = "Lentilslip-Deadline";

	private static final Pattern NUMBER = Pattern.compile("[1-9][0-9]{0,8}");

	private static final Pattern BEARER = Pattern.compile("(?i:bearer) +([\\x21-\\x7e]+)");

	/**
	 * Returns what the headers of a request say.
	 * @param exchange the request
	 * @return the headers, or the error to answer with
	 */
	static Either<HttpError, CallHeaders> read(HttpExchange exchange) {
		return caller(exchange).flatMap((caller) -> new Reader(exchange).read(caller)).flatMap(CallHeaders::checked);
	}

	/**
	 * Returns the digest of the key that a caller showed.
	 * @param exchange the request
	 * @return the digest, or the error to answer with
	 */
	static Either<HttpError, Digest> caller(HttpExchange exchange) {
		List<String> values = exchange.header("Authorization");
		if (values.size() != 1) {
			return Either.left(unauthorized());
		}
		var matcher = BEARER.matcher(values.getFirst().strip());
		return matcher.matches() ? Either.right(Digest.of(matcher.group(1))) : Either.left(unauthorized());
	}

	private static HttpError unauthorized() {
		String message = "an Authorization header with a bearer key is needed";
		return HttpError.of(CallFailure.notRun(FailureCause.UNAUTHORIZED, message));
	}

	private static Optional<Integer> number(String text) {
		return NUMBER.matcher(text).matches() ? Optional.of(Integer.valueOf(text)) : Optional.empty();
	}

	private static Optional<Duration> milliseconds(String text) {
		return number(text).map(Duration::ofMillis);
	}

	private static Optional<HistoryMode> mode(String text) {
		return switch (text.toLowerCase(Locale.ROOT)) {
			case "whole" -> Optional.of(HistoryMode.WHOLE);
			case "new" -> Optional.of(HistoryMode.NEW);
			default -> Optional.empty();
		};
	}

	private Either<HttpError, CallHeaders> checked() {
		boolean needsProgram = this.parent.isPresent() || this.number.isPresent() || this.mode == HistoryMode.NEW;
		if (needsProgram && this.program.isEmpty()) {
			return invalid(PARENT + ", " + CALL + " and " + HISTORY + ": new need the header " + PROGRAM);
		}
		if (this.mode == HistoryMode.NEW && this.number.isEmpty()) {
			return invalid("a call that leaves the history to the system has to be numbered by " + CALL);
		}
		if (this.parent.isPresent() && this.parent.equals(this.program)) {
			return invalid("a program is not its own parent");
		}
		return Either.right(this);
	}

	private static Either<HttpError, CallHeaders> invalid(String message) {
		return Either.left(HttpError.invalid(message));
	}

	/**
	 * Returns the submission of a payload under these headers.
	 * @param payload what the caller asks for
	 * @return the submission
	 */
	Submission submission(Payload payload) {
		return new Submission(this.caller, this.program, this.parent, this.number, this.key, this.timeLeft, payload);
	}

	/**
	 * A reader of the headers of one request, which keeps the first problem. Used by one
	 * thread.
	 */
	private static final class Reader {

		private final HttpExchange exchange;

		private Optional<HttpError> problem = Optional.empty();

		Reader(HttpExchange exchange) {
			this.exchange = exchange;
		}

		Either<HttpError, CallHeaders> read(Digest caller) {
			CallHeaders headers = new CallHeaders(caller, optional(PROGRAM, ProgramName::parse, "a program's name"),
					optional(PARENT, ProgramName::parse, "a program's name"),
					optional(CALL, CallHeaders::number, "a number from 1"),
					optional(KEY, IdempotencyKey::parse, "a key of at most 255 visible characters"),
					optional(DEADLINE, CallHeaders::milliseconds, "a number of milliseconds from 1"),
					optional(HISTORY, CallHeaders::mode, "whole or new").orElse(HistoryMode.WHOLE));
			return this.problem.<Either<HttpError, CallHeaders>>map(Either::left)
				.orElseGet(() -> Either.right(headers));
		}

		private <T> Optional<T> optional(String name, Function<String, Optional<T>> reader, String expected) {
			List<String> values = this.exchange.header(name);
			if (values.isEmpty()) {
				return Optional.empty();
			}
			Optional<T> value = (values.size() == 1) ? reader.apply(values.getFirst().strip()) : Optional.empty();
			if (value.isEmpty() && this.problem.isEmpty()) {
				String message = "the header " + name + " has to hold " + expected + ", once";
				this.problem = Optional.of(HttpError.invalid(message));
			}
			return value;
		}

	}

}
