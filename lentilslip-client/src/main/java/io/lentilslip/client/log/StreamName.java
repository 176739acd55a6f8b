package io.lentilslip.client.log;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * A stream of the log service. Two values are the same only when they agree in every
 * character; letters keep their case. Immutable and safe for use by several threads.
 *
 * @param value the text of this name
 */
public record StreamName(String value) {

	/**
	 * The most characters a name of a stream may have.
	 */
	public static final int MAXIMUM_LENGTH = 64;

	private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	/**
	 * Creates a name.
	 * @param value the text of this name
	 * @throws IllegalArgumentException if the text is not an allowed name
	 */
	public StreamName {
		Objects.requireNonNull(value, "value");
		if (value.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(value).matches()) {
			throw new IllegalArgumentException("not a valid StreamName: " + value);
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
