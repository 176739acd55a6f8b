package io.lentilslip.core.identity;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Immutable name of a model served by engines. Comparison is case-sensitive. Thread-safe.
 *
 * @param value the text of the name
 */
public record ModelName(String value) implements Comparable<ModelName> {

	/**
	 * The maximum number of characters.
	 */
	public static final int MAXIMUM_LENGTH = 96;

	private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

	/**
	 * Creates a name.
	 * @param value the text of the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public ModelName {
		Objects.requireNonNull(value, "value");
		if (!isValid(value)) {
			throw new IllegalArgumentException("invalid ModelName: " + value);
		}
	}

	/**
	 * Parses a name.
	 * @param text the text to parse, or {@code null}
	 * @return the name, or an empty result if the text is not valid
	 */
	public static Optional<ModelName> parse(String text) {
		if (text == null || !isValid(text)) {
			return Optional.empty();
		}
		return Optional.of(new ModelName(text));
	}

	private static boolean isValid(String text) {
		return text.length() <= MAXIMUM_LENGTH && PATTERN.matcher(text).matches();
	}

	@Override
	public int compareTo(ModelName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
