package io.lentilslip.core.identity;

import java.util.Objects;

/**
 * Immutable identity of a program. Group and name are separate components, so that a
 * separator in a name cannot cause collisions between groups. Thread-safe.
 *
 * @param group the group the program is charged to
 * @param name the name within the group
 */
public record ProgramId(GroupName group, ProgramName name) implements Comparable<ProgramId> {

	/**
	 * Creates an identity.
	 * @param group the group the program is charged to
	 * @param name the name within the group
	 */
	public ProgramId {
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(name, "name");
	}

	@Override
	public int compareTo(ProgramId other) {
		int byGroup = this.group.compareTo(other.group);
		return (byGroup != 0) ? byGroup : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.group + "/" + this.name;
	}

}
