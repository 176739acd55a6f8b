package io.lentilslip.settings.ini;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A section with its entries in their order. The place is that of the header which first
 * opened the section. Immutable and safe for use by several threads.
 *
 * @param name the header
 * @param file the file of the header
 * @param line the line of the header
 * @param entries the entries by key
 */
public record IniSection(SectionName name, String file, int line, Map<String, IniEntry> entries) {

	/**
	 * Creates a section.
	 * @param name the header
	 * @param file the file of the header
	 * @param line the line of the header
	 * @param entries the entries by key
	 */
	public IniSection {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(file, "file");
		entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
	}

	/**
	 * Returns this section with single entries replaced or added.
	 * @param later the entries that win
	 * @return the section
	 */
	IniSection overriddenBy(Map<String, IniEntry> later) {
		Map<String, IniEntry> merged = new LinkedHashMap<>(this.entries);
		merged.putAll(later);
		return new IniSection(this.name, this.file, this.line, merged);
	}

	/**
	 * Returns the entry of a key.
	 * @param key the key
	 * @return the entry, or an empty result if the section lacks the key
	 */
	public Optional<IniEntry> entry(String key) {
		return Optional.ofNullable(this.entries.get(key));
	}

}
