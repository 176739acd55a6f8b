package io.lentilslip.settings.folder;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.settings.ini.SectionName;

/**
 * What differs between two configurations, key by key, with defaults in place: a key that
 * is spelled out but equal to its default is no difference. Immutable and safe for use by
 * several threads.
 *
 * @param changes the differences in a fixed order
 */
public record ConfigurationDifference(List<Change> changes) {

	private static final int SHOWN_DIGITS = 12;

	/**
	 * Creates a difference.
	 * @param changes the differences in a fixed order
	 */
	public ConfigurationDifference {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two configurations.
	 * @param before the earlier configuration
	 * @param after the later configuration
	 * @return what differs
	 */
	public static ConfigurationDifference between(Configuration before, Configuration after) {
		Map<SectionName, Map<String, String>> earlier = ConfigurationDescription.of(before).sections();
		Map<SectionName, Map<String, String>> later = ConfigurationDescription.of(after).sections();
		List<Change> changes = new ArrayList<>();
		for (SectionName section : union(earlier.keySet(), later.keySet())) {
			compare(section, earlier.getOrDefault(section, Map.of()), later.getOrDefault(section, Map.of()), changes);
		}
		return new ConfigurationDifference(changes);
	}

	private static void compare(SectionName section, Map<String, String> before, Map<String, String> after,
			List<Change> changes) {
		for (String key : union(before.keySet(), after.keySet())) {
			String old = before.get(key);
			String replacement = after.get(key);
			if (!Objects.equals(old, replacement)) {
				changes.add(new Change(section, key, shown(key, old), shown(key, replacement)));
			}
		}
	}

	private static Optional<String> shown(String key, String value) {
		if (value != null && key.equals(Keys.KEY_SHA256)) {
			return Optional.of(value.substring(0, SHOWN_DIGITS) + "...");
		}
		return Optional.ofNullable(value);
	}

	private static <T> Set<T> union(Set<T> first, Set<T> second) {
		Set<T> union = new LinkedHashSet<>(first);
		union.addAll(second);
		return union;
	}

	/**
	 * Returns whether there is no difference.
	 * @return whether the configurations are equal
	 */
	public boolean isEmpty() {
		return this.changes.isEmpty();
	}

	/**
	 * Returns the differences as text, one a line.
	 * @return the lines
	 */
	public List<String> lines() {
		return this.changes.stream().map(Change::toString).toList();
	}

	/**
	 * A key that was added, removed or changed. Immutable and safe for use by several
	 * threads.
	 *
	 * @param section the section
	 * @param key the key
	 * @param before the earlier value, or nothing for a key that was added
	 * @param after the later value, or nothing for a key that was removed
	 */
	public record Change(SectionName section, String key, Optional<String> before, Optional<String> after) {

		@Override
		public String toString() {
			String place = "[" + this.section + "] " + this.key;
			if (this.before.isEmpty()) {
				return "added " + place + " = " + this.after.orElseThrow();
			}
			if (this.after.isEmpty()) {
				return "removed " + place + " = " + this.before.get();
			}
			return "changed " + place + ": " + this.before.get() + " -> " + this.after.get();
		}

	}

}
