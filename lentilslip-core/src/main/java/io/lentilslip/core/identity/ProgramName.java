package io.lentilslip.core.identity;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A name that a caller gives to one of its programs, unique within its group. Two values
 * are the same only when they agree in every character; letters keep their case.
 * Immutable and safe for use by several threads.
 *
 * @param value the text of this name
 */
public record ProgramName(String value) implements Comparable<ProgramName> {

	/**
	 * The most characters a name of this kind may have.
	 */
	public static final int MAXIMUM_LENGTH = 128;

	private static final Pattern ALLOWED = Pattern.compile("[\\x21-\\x7e]+");

	/**
	 * Creates a name.
	 * @param value the text of this name
	 * @throws IllegalArgumentException if the text is not an allowed name
	 */
	public ProgramName {
		Objects.requireNonNull(value, "value");
		if (!isAllowed(value)) {
			throw new IllegalArgumentException("not a valid ProgramName: " + value);
		}
	}

	/**
	 * Returns a name, or nothing if the text is not an allowed name.
	 * @param text the text to read
	 * @return the name, or an empty result
	 */
	public static Optional<ProgramName> parse(String text) {
		if (text == null || !isAllowed(text)) {
			return Optional.empty();
		}
		return Optional.of(new ProgramName(text));
	}

	private static boolean isAllowed(String text) {
		return text.length() <= MAXIMUM_LENGTH && ALLOWED.matcher(text).matches();
	}

	@Override
	public int compareTo(ProgramName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
