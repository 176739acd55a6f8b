package io.lentilslip.client.vmlist;

import java.util.Objects;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * A VM as the list states it, which may lag behind reality. Immutable and safe for use by
 * several threads.
 *
 * @param name the VM
 * @param address its numeric IP address
 * @param zone its availability zone
 * @param state what the list says of it
 */
public record Vm(VmName name, String address, ZoneName zone, State state) {

	/**
	 * Creates a VM.
	 * @param name the VM
	 * @param address its numeric IP address
	 * @param zone its availability zone
	 * @param state what the list says of it
	 * @throws IllegalArgumentException if the address is not numeric
	 */
	public Vm {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(state, "state");
		address = new Endpoint(address, 0).ip();
	}

	/**
	 * What the list says of a VM. Safe for use by several threads.
	 */
	public enum State {

		/**
		 * The VM runs.
		 */
		LIVE,

		/**
		 * The VM is about to go.
		 */
		LEAVING

	}

}
