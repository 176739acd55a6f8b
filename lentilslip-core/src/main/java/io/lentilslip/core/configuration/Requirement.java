package io.lentilslip.core.configuration;

import java.time.Duration;

/**
 * Preconditions for numbers and durations. Stateless and thread-safe.
 */
final class Requirement {

	private Requirement() {
	}

	/**
	 * Checks that a number is positive.
	 * @param name the name of the value, used in the message
	 * @param value the number
	 * @throws IllegalArgumentException if it is not positive
	 */
	static void positive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive: " + value);
		}
	}

	/**
	 * Checks that a number is not negative.
	 * @param name the name of the value, used in the message
	 * @param value the number
	 * @throws IllegalArgumentException if it is negative
	 */
	static void notNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + " must not be negative: " + value);
		}
	}

	/**
	 * Checks that a duration is positive.
	 * @param name the name of the value, used in the message
	 * @param value the duration
	 * @throws IllegalArgumentException if it is not positive
	 */
	static void positive(String name, Duration value) {
		if (!value.isPositive()) {
			throw new IllegalArgumentException(name + " must be positive: " + value);
		}
	}

}
