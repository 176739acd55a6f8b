package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Calls of a service that may be repeated: those of one method below a path. Immutable
 * and safe for use by several threads.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the path that the calls' paths are equal to or lie below
 */
public record RepeatableCall(String method, String pathPrefix) {

	private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

	private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,255}");

	private static final Pattern AMBIGUOUS = Pattern.compile("[%;\\\\]|//|/\\.{1,2}(?:/|$)");

	/**
	 * Creates a description of calls.
	 * @param method the HTTP method in upper case
	 * @param pathPrefix the path that the calls' paths are equal to or lie below
	 * @throws IllegalArgumentException if the method is not in upper case or the path is
	 * not plain
	 */
	public RepeatableCall {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		if (!isAllowed(method, pathPrefix)) {
			throw new IllegalArgumentException("not a method and a plain path: " + method + " " + pathPrefix);
		}
	}

	/**
	 * Returns the calls that a text such as {@code GET /prices} describes.
	 * @param text the text to read
	 * @return the calls, or an empty result if the text describes none
	 */
	public static Optional<RepeatableCall> parse(String text) {
		int space = text.indexOf(' ');
		if (space < 0 || !isAllowed(text.substring(0, space), text.substring(space + 1).strip())) {
			return Optional.empty();
		}
		return Optional.of(new RepeatableCall(text.substring(0, space), text.substring(space + 1).strip()));
	}

	private static boolean isAllowed(String method, String path) {
		return METHOD.matcher(method).matches() && PATH.matcher(path).matches() && !AMBIGUOUS.matcher(path).find();
	}

	/**
	 * Returns whether a call is one of these. A path that a service could read in two
	 * ways (dot segments, escapes, empty segments) is none of them: were
	 * {@code /prices/../check-in} taken for a price, a check-in could be billed twice.
	 * @param otherMethod the call's method
	 * @param path the call's path, with or without a query
	 * @return whether the call may be repeated
	 */
	public boolean matches(String otherMethod, String path) {
		String plain = withoutQuery(path);
		if (!this.method.equals(otherMethod) || AMBIGUOUS.matcher(plain).find()) {
			return false;
		}
		String below = this.pathPrefix.endsWith("/") ? this.pathPrefix : this.pathPrefix + "/";
		return plain.equals(this.pathPrefix) || plain.startsWith(below);
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
