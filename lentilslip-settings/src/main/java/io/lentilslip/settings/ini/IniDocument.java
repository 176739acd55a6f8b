package io.lentilslip.settings.ini;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Several INI files merged in their order. A later file overrides single keys of a
 * section, or removes the section whole with {@code remove = true}; no two sections
 * differ only in case. Immutable and safe for use by several threads.
 */
public final class IniDocument {

	/**
	 * The key that removes a section of an earlier file.
	 */
	public static final String REMOVE = "remove";

	private final Map<SectionName, IniSection> sections;

	private IniDocument(Map<SectionName, IniSection> sections) {
		this.sections = Collections.unmodifiableMap(sections);
	}

	/**
	 * Merges files.
	 * @param files the files, later ones win
	 * @param problems where problems are added
	 * @return the merged sections
	 */
	public static IniDocument merge(List<IniFile> files, Problems problems) {
		Map<SectionName, IniSection> merged = new LinkedHashMap<>();
		Map<SectionName, IniSection> spellings = new HashMap<>();
		for (IniFile file : files) {
			for (IniSection section : file.sections()) {
				checkSpelling(section, spellings, problems);
				merge(section, merged, problems);
			}
		}
		return new IniDocument(merged);
	}

	private static void checkSpelling(IniSection section, Map<SectionName, IniSection> spellings, Problems problems) {
		IniSection earlier = spellings.putIfAbsent(section.name().folded(), section);
		if (earlier != null && !earlier.name().equals(section.name())) {
			problems.add(section, "a name that differs only in case from [" + earlier.name() + "] in " + earlier.file()
					+ ":" + earlier.line(), "names that differ in more than case");
		}
	}

	private static void merge(IniSection section, Map<SectionName, IniSection> merged, Problems problems) {
		Optional<IniEntry> removal = section.entry(REMOVE);
		if (removal.isPresent()) {
			checkRemoval(section, removal.get(), merged, problems);
			merged.remove(section.name());
			return;
		}
		IniSection earlier = merged.get(section.name());
		merged.put(section.name(), (earlier != null) ? earlier.overriddenBy(section.entries()) : section);
	}

	private static void checkRemoval(IniSection section, IniEntry removal, Map<SectionName, IniSection> merged,
			Problems problems) {
		if (!removal.value().equals("true")) {
			problems.add(section.name(), removal, "true, or no such key");
		}
		if (section.entries().size() > 1) {
			problems.add(section.name(), removal, "no other key in a section that is removed");
		}
		if (!merged.containsKey(section.name())) {
			problems.add(section.name(), removal, "a section of an earlier file to remove");
		}
	}

	/**
	 * Returns all sections in the order in which they first appear.
	 * @return the sections
	 */
	public Collection<IniSection> sections() {
		return this.sections.values();
	}

	/**
	 * Returns the sections of a kind.
	 * @param kind the first word of the header
	 * @return the sections in the order in which they first appear
	 */
	public List<IniSection> sections(String kind) {
		return this.sections.values().stream().filter((section) -> section.name().kind().equals(kind)).toList();
	}

	/**
	 * Returns a section.
	 * @param name the header
	 * @return the section, or an empty result if there is none of this header
	 */
	public Optional<IniSection> section(SectionName name) {
		return Optional.ofNullable(this.sections.get(name));
	}

}
