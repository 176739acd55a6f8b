package io.lentilslip.core.configuration;

import java.util.Arrays;
import java.util.Optional;

/**
 * Scheduling class of a program among the programs of its group. Thread-safe.
 */
public enum ServiceClass {

	/**
	 * A user is waiting for the program.
	 */
	INTERACTIVE("interactive"),

	/**
	 * No user is waiting for the program.
	 */
	BACKGROUND("background");

	private final String label;

	ServiceClass(String label) {
		this.label = label;
	}

	/**
	 * Parses the label of a class.
	 * @param text the text to parse
	 * @return the class, or an empty result if the text is not a label
	 */
	public static Optional<ServiceClass> parse(String text) {
		return Arrays.stream(values()).filter((candidate) -> candidate.label.equals(text)).findFirst();
	}

	/**
	 * Returns the representation of this class in files and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
