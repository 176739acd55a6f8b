package io.lentilslip.core.identity;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Immutable key by which a caller identifies retries of one request, unique within its
 * group. Comparison is case-sensitive. Thread-safe.
 *
 * @param value the text of the key
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	/**
	 * The maximum number of characters.
	 */
	public static final int MAXIMUM_LENGTH = 255;

	private static final Pattern PATTERN = Pattern.compile("[\\x21-\\x7e]+");

	/**
	 * Creates a key.
	 * @param value the text of the key
	 * @throws IllegalArgumentException if the text is not a valid key
	 */
	public IdempotencyKey {
		Objects.requireNonNull(value, "value");
		if (!isValid(value)) {
			throw new IllegalArgumentException("invalid IdempotencyKey: " + value);
		}
	}

	/**
	 * Parses a key.
	 * @param text the text to parse, or {@code null}
	 * @return the key, or an empty result if the text is not valid
	 */
	public static Optional<IdempotencyKey> parse(String text) {
		if (text == null || !isValid(text)) {
			return Optional.empty();
		}
		return Optional.of(new IdempotencyKey(text));
	}

	private static boolean isValid(String text) {
		return text.length() <= MAXIMUM_LENGTH && PATTERN.matcher(text).matches();
	}

	@Override
	public int compareTo(IdempotencyKey other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
