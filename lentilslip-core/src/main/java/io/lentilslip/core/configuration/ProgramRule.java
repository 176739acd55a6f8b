package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramName;

/**
 * A rule over the programs of a group whose names begin with a prefix. The rule gives
 * their service class. It also assigns to its group such programs of the callers it
 * lists, who may belong to other groups; it never touches programs of a caller it does
 * not list. Immutable and safe for use by several threads.
 *
 * @param name the rule
 * @param group the group the programs belong to
 * @param prefix what the names of the programs begin with
 * @param serviceClass how urgent the programs are
 * @param callers the callers whose programs are assigned to the group
 */
public record ProgramRule(PolicyName name, GroupName group, String prefix, ServiceClass serviceClass,
		Set<PolicyName> callers) {

	/**
	 * Creates a rule.
	 * @param name the rule
	 * @param group the group the programs belong to
	 * @param prefix what the names of the programs begin with
	 * @param serviceClass how urgent the programs are
	 * @param callers the callers whose programs are assigned to the group
	 * @throws IllegalArgumentException if no program name can begin with the prefix
	 */
	public ProgramRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(serviceClass, "serviceClass");
		if (ProgramName.parse(prefix).isEmpty()) {
			throw new IllegalArgumentException("no program name begins with: " + prefix);
		}
		callers = Set.copyOf(callers);
	}

	/**
	 * Returns whether the name of a program begins with this rule's prefix.
	 * @param program the name of the program
	 * @return whether it begins with the prefix
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
