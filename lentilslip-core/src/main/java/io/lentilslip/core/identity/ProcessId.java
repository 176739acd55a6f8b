package io.lentilslip.core.identity;

import java.util.Objects;

/**
 * Immutable identity of one incarnation of a process. Thread-safe.
 *
 * @param vm the VM the process runs on
 * @param incarnation the incarnation of the process
 */
public record ProcessId(VmName vm, Incarnation incarnation) {

	/**
	 * Creates an identity.
	 * @param vm the VM the process runs on
	 * @param incarnation the incarnation of the process
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
