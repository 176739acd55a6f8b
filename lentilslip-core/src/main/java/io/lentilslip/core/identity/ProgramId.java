package io.lentilslip.core.identity;

import java.util.Objects;

/**
 * The identity of a program. Group and name are kept apart, never joined to one text, so
 * that no separator in a name can make programs of two groups the same. Immutable and
 * safe for use by several threads.
 *
 * @param group the group the program is charged to
 * @param name the name within that group
 */
public record ProgramId(GroupName group, ProgramName name) implements Comparable<ProgramId> {

	/**
	 * Creates an identity.
	 * @param group the group the program is charged to
	 * @param name the name within that group
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
