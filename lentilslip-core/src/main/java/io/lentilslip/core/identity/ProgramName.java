package io.lentilslip.core.identity;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Immutable name of a program, chosen by its caller and unique within its group.
 * Comparison is case-sensitive. Thread-safe.
 *
 * @param value the text of the name
 */
public record ProgramName(String value) implements Comparable<ProgramName> {

	/**
	 * The maximum number of characters.
	 */
	public static final int MAXIMUM_LENGTH = 128;

	private static final Pattern PATTERN = Pattern.compile("[\\x21-\\x7e]+");

	/**
	 * Creates a name.
	 * @param value the text of the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public ProgramName {
		Objects.requireNonNull(value, "value");
		if (!isValid(value)) {
			throw new IllegalArgumentException("invalid ProgramName: " + value);
		}
	}

	/**
	 * Parses a name.
	 * @param text the text to parse, or {@code null}
	 * @return the name, or an empty result if the text is not valid
	 */
	public static Optional<ProgramName> parse(String text) {
		if (text == null || !isValid(text)) {
			return Optional.empty();
		}
		return Optional.of(new ProgramName(text));
	}

	private static boolean isValid(String text) {
		return text.length() <= MAXIMUM_LENGTH && PATTERN.matcher(text).matches();
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
