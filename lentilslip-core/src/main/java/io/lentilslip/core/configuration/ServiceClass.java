package io.lentilslip.core.configuration;

import java.util.Arrays;
import java.util.Optional;

/**
 * How urgent a program is among the programs of its group. Safe for use by several
 * threads.
 */
public enum ServiceClass {

	/**
	 * Somebody waits for the program.
	 */
	INTERACTIVE("interactive"),

	/**
	 * Nobody waits for the program at this moment.
	 */
	BACKGROUND("background");

	private final String label;

	ServiceClass(String label) {
		this.label = label;
	}

	/**
	 * Returns the class that a text names.
	 * @param text the text to read
	 * @return the class, or an empty result if the text names none
	 */
	public static Optional<ServiceClass> parse(String text) {
		return Arrays.stream(values()).filter((candidate) -> candidate.label.equals(text)).findFirst();
	}

	/**
	 * Returns the text that stands for this class in files and metrics.
	 * @return the text
	 */
	public String label() {
		return this.label;
	}

}
