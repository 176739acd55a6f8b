package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The name by which the configuration itself tells sites, callers and program rules
 * apart. Two values are the same only when they agree in every character; letters keep
 * their case. Immutable and safe for use by several threads.
 *
 * @param value the text of this name
 */
public record PolicyName(String value) implements Comparable<PolicyName> {

	/**
	 * The most characters a name of this kind may have.
	 */
	public static final int MAXIMUM_LENGTH = 64;

	private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

	/**
	 * Creates a name.
	 * @param value the text of this name
	 * @throws IllegalArgumentException if the text is not an allowed name
	 */
	public PolicyName {
		Objects.requireNonNull(value, "value");
		if (!isAllowed(value)) {
			throw new IllegalArgumentException("not a valid PolicyName: " + value);
		}
	}

	/**
	 * Returns a name, or nothing if the text is not an allowed name.
	 * @param text the text to read
	 * @return the name, or an empty result
	 */
	public static Optional<PolicyName> parse(String text) {
		if (text == null || !isAllowed(text)) {
			return Optional.empty();
		}
		return Optional.of(new PolicyName(text));
	}

	private static boolean isAllowed(String text) {
		return text.length() <= MAXIMUM_LENGTH && ALLOWED.matcher(text).matches();
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
