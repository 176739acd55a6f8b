package io.lentilslip.client.vmlist;

import java.util.List;

/**
 * How reading the list of VMs ended. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface VmListOutcome {

	/**
	 * The list.
	 *
	 * @param version a number that grows with each change of the list
	 * @param vms the VMs, each once
	 */
	record Listed(long version, List<Vm> vms) implements VmListOutcome {

		/**
		 * Creates the outcome of a read.
		 * @param version a number that grows with each change of the list
		 * @param vms the VMs, each once
		 */
		public Listed {
			vms = List.copyOf(vms);
		}

	}

	/**
	 * The list could not be read.
	 *
	 * @param reason what happened, for people
	 */
	record Unavailable(String reason) implements VmListOutcome {

	}

}
