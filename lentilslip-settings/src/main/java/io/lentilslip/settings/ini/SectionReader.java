package io.lentilslip.settings.ini;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads typed values from one section. Every problem is added to those found so far; keys
 * that nobody asked for are problems too, reported by {@link #close()}. Not safe for use
 * by several threads.
 */
public final class SectionReader implements AutoCloseable {

	private final IniSection section;

	private final Problems problems;

	private final Set<String> known = new TreeSet<>();

	/**
	 * Creates a reader.
	 * @param section the section
	 * @param problems where problems are added
	 */
	public SectionReader(IniSection section, Problems problems) {
		this.section = section;
		this.problems = problems;
	}

	/**
	 * Returns the name in the section's header.
	 * @param <T> the type of the name
	 * @param kind the kind of name
	 * @return the name, or an empty result if there is a problem
	 */
	public <T> Optional<T> name(ValueKind<T> kind) {
		Optional<T> name = kind.parser().apply(this.section.name().name());
		if (name.isEmpty()) {
			this.problems.add(this.section, "the name '" + this.section.name().name() + "'", kind.expected());
		}
		return name;
	}

	/**
	 * Returns a value that the section must have.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param kind the kind of value
	 * @return the value, or an empty result if there is a problem
	 */
	public <T> Optional<T> required(String key, ValueKind<T> kind) {
		if (entry(key).isEmpty()) {
			this.problems.add(new ConfigurationProblem(this.section.file(), this.section.line(),
					this.section.name().toString(), key, "no such key", kind.expected()));
			return Optional.empty();
		}
		return optional(key, kind);
	}

	/**
	 * Returns a value that the section may lack.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param kind the kind of value
	 * @return the value, or an empty result if there is none or there is a problem
	 */
	public <T> Optional<T> optional(String key, ValueKind<T> kind) {
		Optional<IniEntry> entry = entry(key);
		Optional<T> value = entry.map(IniEntry::value).flatMap(kind.parser());
		if (entry.isPresent() && value.isEmpty()) {
			this.problems.add(this.section.name(), entry.get(), kind.expected());
		}
		return value;
	}

	/**
	 * Returns whether the section has a key.
	 * @param key the key
	 * @return whether the section has it
	 */
	public boolean has(String key) {
		return entry(key).isPresent();
	}

	/**
	 * Accepts keys without reading them, where an earlier problem leaves their meaning
	 * open.
	 * @param keys the keys
	 */
	public void ignore(String... keys) {
		this.known.addAll(List.of(keys));
	}

	private Optional<IniEntry> entry(String key) {
		this.known.add(key);
		return this.section.entry(key);
	}

	/**
	 * Adds a problem with the value of a key unless a condition holds.
	 * @param condition the condition
	 * @param key the key whose value is at fault
	 * @param expected what was expected
	 */
	public void require(boolean condition, String key, String expected) {
		if (condition) {
			return;
		}
		Optional<IniEntry> entry = this.section.entry(key);
		if (entry.isPresent()) {
			this.problems.add(this.section.name(), entry.get(), expected);
			return;
		}
		this.problems.add(new ConfigurationProblem(this.section.file(), this.section.line(),
				this.section.name().toString(), key, "no such key", expected));
	}

	/**
	 * Reports the keys that the section has and nobody asked for.
	 */
	@Override
	public void close() {
		for (IniEntry entry : this.section.entries().values()) {
			if (!this.known.contains(entry.key())) {
				this.problems.add(new ConfigurationProblem(entry.file(), entry.line(), this.section.name().toString(),
						entry.key(), "an unknown key", "one of " + String.join(", ", this.known)));
			}
		}
	}

}
