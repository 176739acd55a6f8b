package io.lentilslip.settings.process;

import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilslip.settings.ini.IniDocument;
import io.lentilslip.settings.ini.IniSection;
import io.lentilslip.settings.ini.Problems;
import io.lentilslip.settings.ini.SectionName;
import io.lentilslip.settings.ini.SectionReader;

/**
 * The sections of a settings file, each open for reading until all are closed together. A
 * section that is missing reads as an empty one, so that its required keys are reported.
 * Not safe for use by several threads.
 */
final class SettingsSections implements AutoCloseable {

	private final IniDocument document;

	private final String file;

	private final Problems problems;

	private final Map<String, SectionReader> readers = new LinkedHashMap<>();

	/**
	 * Opens sections.
	 * @param document the merged sections
	 * @param file the file that missing sections are missing from
	 * @param problems where problems are added
	 */
	SettingsSections(IniDocument document, String file, Problems problems) {
		this.document = document;
		this.file = file;
		this.problems = problems;
	}

	/**
	 * Returns the reader of a section.
	 * @param kind the header of the section
	 * @return the reader, the same for each call
	 */
	SectionReader section(String kind) {
		return this.readers.computeIfAbsent(kind, this::open);
	}

	private SectionReader open(String kind) {
		SectionName name = new SectionName(kind, "");
		IniSection section = this.document.section(name).orElseGet(() -> new IniSection(name, this.file, 0, Map.of()));
		return new SectionReader(section, this.problems);
	}

	/**
	 * Closes all sections, by which unknown keys are reported.
	 */
	@Override
	public void close() {
		this.readers.values().forEach(SectionReader::close);
	}

}
