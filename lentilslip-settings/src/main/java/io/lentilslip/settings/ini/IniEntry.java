package io.lentilslip.settings.ini;

import java.util.Objects;

/**
 * A key with its value and the place it stands at. Immutable and safe for use by several
 * threads.
 *
 * @param key the key
 * @param value the value without surrounding white space
 * @param file the file, or what stands in its place
 * @param line the line from 1, or 0 if there are no lines
 */
public record IniEntry(String key, String value, String file, int line) {

	/**
	 * Creates an entry.
	 * @param key the key
	 * @param value the value without surrounding white space
	 * @param file the file, or what stands in its place
	 * @param line the line from 1, or 0 if there are no lines
	 */
	public IniEntry {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
		Objects.requireNonNull(file, "file");
	}

	/**
	 * Returns the place of this entry.
	 * @return the file, and the line if there is one
	 */
	public String origin() {
		return (this.line > 0) ? this.file + ":" + this.line : this.file;
	}

}
