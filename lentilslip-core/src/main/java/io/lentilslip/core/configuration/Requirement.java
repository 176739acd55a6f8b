package io.lentilslip.core.configuration;

import java.time.Duration;

/**
 * Checks of the numbers in this package's values. Stateless and safe for use by several
 * threads.
 */
final class Requirement {

	private Requirement() {
	}

	/**
	 * Checks that a number is above zero.
	 * @param name what the number is
	 * @param value the number
	 * @throws IllegalArgumentException if it is not above zero
	 */
	static void positive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, not " + value);
		}
	}

	/**
	 * Checks that a number is not below zero.
	 * @param name what the number is
	 * @param value the number
	 * @throws IllegalArgumentException if it is below zero
	 */
	static void notNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + " must not be negative, not " + value);
		}
	}

	/**
	 * Checks that a time is longer than nothing.
	 * @param name what the time is
	 * @param value the time
	 * @throws IllegalArgumentException if it is not longer than nothing
	 */
	static void positive(String name, Duration value) {
		if (!value.isPositive()) {
			throw new IllegalArgumentException(name + " must be positive, not " + value);
		}
	}

}
