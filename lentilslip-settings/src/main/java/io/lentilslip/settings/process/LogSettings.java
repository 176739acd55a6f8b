package io.lentilslip.settings.process;

import java.util.Objects;

/**
 * How a process writes its log. Immutable and safe for use by several threads.
 *
 * @param format how an event is laid out
 * @param level the least severe events that are written
 */
public record LogSettings(Format format, Level level) {

	/**
	 * What a process does unless told otherwise.
	 */
	public static final LogSettings DEFAULT = new LogSettings(Format.LINES, Level.INFO);

	/**
	 * Creates settings.
	 * @param format how an event is laid out
	 * @param level the least severe events that are written
	 */
	public LogSettings {
		Objects.requireNonNull(format, "format");
		Objects.requireNonNull(level, "level");
	}

	/**
	 * How an event is laid out.
	 */
	public enum Format {

		/**
		 * One line of text an event.
		 */
		LINES,

		/**
		 * One JSON object an event.
		 */
		JSON

	}

	/**
	 * How severe an event is.
	 */
	public enum Level {

		/**
		 * Something needs an operator.
		 */
		ERROR,

		/**
		 * Something went wrong and was dealt with.
		 */
		WARN,

		/**
		 * Something of note happened.
		 */
		INFO,

		/**
		 * Details for the search of faults.
		 */
		DEBUG

	}

}
