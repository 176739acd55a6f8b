package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Immutable name of a site, caller or program rule in the configuration. Comparison is
 * case-sensitive. Thread-safe.
 *
 * @param value the text of the name
 */
public record PolicyName(String value) implements Comparable<PolicyName> {

	/**
	 * The maximum number of characters.
	 */
	public static final int MAXIMUM_LENGTH = 64;

	private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	/**
	 * Creates a name.
	 * @param value the text of the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public PolicyName {
		Objects.requireNonNull(value, "value");
		if (!isValid(value)) {
			throw new IllegalArgumentException("invalid PolicyName: " + value);
		}
	}

	/**
	 * Parses a name.
	 * @param text the text to parse, or {@code null}
	 * @return the name, or an empty result if the text is not valid
	 */
	public static Optional<PolicyName> parse(String text) {
		if (text == null || !isValid(text)) {
			return Optional.empty();
		}
		return Optional.of(new PolicyName(text));
	}

	private static boolean isValid(String text) {
		return text.length() <= MAXIMUM_LENGTH && PATTERN.matcher(text).matches();
	}

	@Override
	public int compareTo(PolicyName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
