package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramName;

/**
 * Immutable rule for the programs of a group whose names start with a prefix. It sets
 * their service class. It also assigns matching programs of the listed callers, which may
 * belong to other groups, to its group; programs of other callers are not reassigned.
 * Thread-safe.
 *
 * @param name the rule
 * @param group the group the programs belong to
 * @param prefix the prefix of the programs' names
 * @param serviceClass the service class of the programs
 * @param callers the callers whose programs are assigned to the group
 */
public record ProgramRule(PolicyName name, GroupName group, String prefix, ServiceClass serviceClass,
		Set<PolicyName> callers) {

	/**
	 * Creates a rule.
	 * @param name the rule
	 * @param group the group the programs belong to
	 * @param prefix the prefix of the programs' names
	 * @param serviceClass the service class of the programs
	 * @param callers the callers whose programs are assigned to the group
	 * @throws IllegalArgumentException if no program name can start with the prefix
	 */
	public ProgramRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(serviceClass, "serviceClass");
		if (ProgramName.parse(prefix).isEmpty()) {
			throw new IllegalArgumentException("invalid program name prefix: " + prefix);
		}
		callers = Set.copyOf(callers);
	}

	/**
	 * Returns whether the name of a program starts with this rule's prefix.
	 * @param program the name of the program
	 * @return whether it starts with the prefix
	 */
	public boolean matches(ProgramName program) {
		return program.value().startsWith(this.prefix);
	}

	/**
	 * Returns the callers in the order of their names.
	 * @return the callers whose programs are assigned to the group
	 */
	public Set<PolicyName> sortedCallers() {
		return new TreeSet<>(this.callers);
	}

}
