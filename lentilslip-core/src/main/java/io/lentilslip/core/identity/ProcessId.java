package io.lentilslip.core.identity;

import java.util.Objects;

/**
 * One process of the system in one of its lives. Immutable and safe for use by several
 * threads.
 *
 * @param vm the VM the process runs on
 * @param incarnation the life of the process
 */
public record ProcessId(VmName vm, Incarnation incarnation) {

	/**
	 * Creates the identity of a process.
	 * @param vm the VM the process runs on
	 * @param incarnation the life of the process
	 */
	public ProcessId {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(incarnation, "incarnation");
	}

	@Override
	public String toString() {
		return this.vm + "#" + this.incarnation;
	}

}
