package io.lentilslip.settings.ini;

import java.util.Locale;
import java.util.Objects;

/**
 * The header of a section: its kind and, after a space, the name of what it describes, as
 * in {@code [group sellers]}. Immutable and safe for use by several threads.
 *
 * @param kind the first word
 * @param name the rest, or an empty text
 */
public record SectionName(String kind, String name) {

	/**
	 * Creates a header.
	 * @param kind the first word
	 * @param name the rest, or an empty text
	 */
	public SectionName {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(name, "name");
	}

	/**
	 * Returns the header that the text between brackets stands for.
	 * @param text the text between brackets
	 * @return the header
	 */
	public static SectionName of(String text) {
		String stripped = text.strip();
		int space = stripped.indexOf(' ');
		if (space < 0) {
			return new SectionName(stripped, "");
		}
		return new SectionName(stripped.substring(0, space), stripped.substring(space + 1).strip());
	}

	/**
	 * Returns this header in lower case, to find headers that differ only in case.
	 * @return the header in lower case
	 */
	SectionName folded() {
		return new SectionName(this.kind.toLowerCase(Locale.ROOT), this.name.toLowerCase(Locale.ROOT));
	}

	@Override
	public String toString() {
		return this.name.isEmpty() ? this.kind : this.kind + " " + this.name;
	}

}
