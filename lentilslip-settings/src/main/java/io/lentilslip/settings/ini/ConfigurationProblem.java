package io.lentilslip.settings.ini;

import java.util.Objects;

/**
 * One reason for which a file, a folder or an option is refused. Immutable and safe for
 * use by several threads.
 *
 * @param file the file, or what stands in its place
 * @param line the line from 1, or 0 if the problem is of the file as a whole
 * @param section the section without brackets, or an empty text
 * @param key the key, or an empty text
 * @param found what was found
 * @param expected what was expected
 */
public record ConfigurationProblem(String file, int line, String section, String key, String found, String expected) {

	private static final int LONGEST_SHOWN = 80;

	/**
	 * Creates a problem. What was found is shortened and freed of control characters, so
	 * that a hostile file can't forge lines of a log.
	 * @param file the file, or what stands in its place
	 * @param line the line from 1, or 0 if the problem is of the file as a whole
	 * @param section the section without brackets, or an empty text
	 * @param key the key, or an empty text
	 * @param found what was found
	 * @param expected what was expected
	 */
	public ConfigurationProblem {
		Objects.requireNonNull(file, "file");
		Objects.requireNonNull(expected, "expected");
		section = printable(section);
		key = printable(key);
		found = printable(found);
	}

	/**
	 * Returns a problem of a file as a whole.
	 * @param file the file, or what stands in its place
	 * @param found what was found
	 * @param expected what was expected
	 * @return the problem
	 */
	public static ConfigurationProblem ofFile(String file, String found, String expected) {
		return new ConfigurationProblem(file, 0, "", "", found, expected);
	}

	private static String printable(String text) {
		String shortened = (text.length() <= LONGEST_SHOWN) ? text : text.substring(0, LONGEST_SHOWN) + "...";
		return shortened.replaceAll("\\p{Cntrl}", "?");
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(this.file);
		if (this.line > 0) {
			text.append(':').append(this.line);
		}
		text.append(": ");
		if (!this.section.isEmpty()) {
			text.append('[').append(this.section).append("] ");
		}
		if (!this.key.isEmpty()) {
			text.append(this.key).append(": ");
		}
		return text.append("found ").append(this.found).append(", expected ").append(this.expected).toString();
	}

}
