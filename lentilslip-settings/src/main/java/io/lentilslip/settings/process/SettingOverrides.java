package io.lentilslip.settings.process;

import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilslip.settings.ini.IniEntry;
import io.lentilslip.settings.ini.IniFile;
import io.lentilslip.settings.ini.IniSection;
import io.lentilslip.settings.ini.SectionName;

/**
 * Settings given on the command line as {@code section.key}, which win over those of the
 * file. Immutable and safe for use by several threads.
 *
 * @param values the texts of the settings by {@code section.key}
 */
public record SettingOverrides(Map<String, String> values) {

	/**
	 * What stands in place of a file name in problems.
	 */
	public static final String ORIGIN = "(command line)";

	/**
	 * No settings on the command line.
	 */
	public static final SettingOverrides NONE = new SettingOverrides(Map.of());

	/**
	 * Creates overrides.
	 * @param values the texts of the settings by {@code section.key}
	 */
	public SettingOverrides {
		values = Map.copyOf(values);
	}

	/**
	 * Returns the overrides in the shape of a file that is merged last.
	 * @return the file
	 */
	IniFile asFile() {
		Map<String, Map<String, IniEntry>> sections = new LinkedHashMap<>();
		this.values.forEach((name, value) -> {
			int dot = name.indexOf('.');
			String section = (dot < 0) ? name : name.substring(0, dot);
			String key = (dot < 0) ? "" : name.substring(dot + 1);
			sections.computeIfAbsent(section, (any) -> new LinkedHashMap<>())
				.put(key, new IniEntry(key, value.strip(), ORIGIN, 0));
		});
		return new IniFile(ORIGIN, sections.entrySet()
			.stream()
			.map((section) -> new IniSection(new SectionName(section.getKey(), ""), ORIGIN, 0, section.getValue()))
			.toList());
	}

}
