package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Immutable pattern of service calls that may be repeated: those with one method below a
 * path. Thread-safe.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the path at or below which the calls' paths are
 */
public record RepeatableCall(String method, String pathPrefix) {

	private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

	private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,255}");

	private static final Pattern AMBIGUOUS = Pattern.compile("[%;\\\\]|//|/\\.{1,2}(?:/|$)");

	/**
	 * Creates a pattern.
	 * @param method the HTTP method in upper case
	 * @param pathPrefix the path at or below which the calls' paths are
	 * @throws IllegalArgumentException if the method is not in upper case or the path is
	 * ambiguous
	 */
	public RepeatableCall {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		if (!isValid(method, pathPrefix)) {
			throw new IllegalArgumentException("invalid method or path: " + method + " " + pathPrefix);
		}
	}

	/**
	 * Parses a pattern such as {@code GET /prices}.
	 * @param text the text to parse
	 * @return the pattern, or an empty result if the text is not valid
	 */
	public static Optional<RepeatableCall> parse(String text) {
		int space = text.indexOf(' ');
		if (space < 0 || !isValid(text.substring(0, space), text.substring(space + 1).strip())) {
			return Optional.empty();
		}
		return Optional.of(new RepeatableCall(text.substring(0, space), text.substring(space + 1).strip()));
	}

	private static boolean isValid(String method, String path) {
		return METHOD.matcher(method).matches() && PATH.matcher(path).matches() && !AMBIGUOUS.matcher(path).find();
	}

	/**
	 * Returns whether a call matches this pattern. Ambiguous paths (with dot segments,
	 * escapes or empty segments) never match: {@code /prices/../check-in} must not match
	 * {@code /prices}, or a check-in could be repeated.
	 * @param otherMethod the call's method
	 * @param path the call's path, with or without a query
	 * @return whether the call may be repeated
	 */
	public boolean matches(String otherMethod, String path) {
		String pathOnly = withoutQuery(path);
		if (!this.method.equals(otherMethod) || AMBIGUOUS.matcher(pathOnly).find()) {
			return false;
		}
		String directory = this.pathPrefix.endsWith("/") ? this.pathPrefix : this.pathPrefix + "/";
		return pathOnly.equals(this.pathPrefix) || pathOnly.startsWith(directory);
	}

	private static String withoutQuery(String path) {
		int query = path.indexOf('?');
		return (query < 0) ? path : path.substring(0, query);
	}

	@Override
	public String toString() {
		return this.method + " " + this.pathPrefix;
	}

}
