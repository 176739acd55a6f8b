package io.lentilslip.settings.ini;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import io.vavr.control.Either;

/**
 * The problems found so far while something is read, collected so that operators see all
 * of them at once. Not safe for use by several threads.
 */
public final class Problems {

	private final List<ConfigurationProblem> problems = new ArrayList<>();

	/**
	 * Adds a problem.
	 * @param problem the problem
	 */
	public void add(ConfigurationProblem problem) {
		this.problems.add(problem);
	}

	/**
	 * Adds the problem that an entry has an unsuitable value.
	 * @param section the section of the entry
	 * @param entry the entry
	 * @param expected what was expected
	 */
	public void add(SectionName section, IniEntry entry, String expected) {
		add(new ConfigurationProblem(entry.file(), entry.line(), section.toString(), entry.key(),
				"'" + entry.value() + "'", expected));
	}

	/**
	 * Adds a problem of a section as a whole.
	 * @param section the section
	 * @param found what was found
	 * @param expected what was expected
	 */
	public void add(IniSection section, String found, String expected) {
		add(new ConfigurationProblem(section.file(), section.line(), section.name().toString(), "", found, expected));
	}

	/**
	 * Returns what was read, or all problems if there are any.
	 * @param <T> the type of what was read
	 * @param result what was read, asked for only if there are no problems
	 * @return the problems on the left, or what was read on the right
	 */
	public <T> Either<List<ConfigurationProblem>, T> orElse(Supplier<T> result) {
		return this.problems.isEmpty() ? Either.right(result.get()) : Either.left(List.copyOf(this.problems));
	}

}
