package io.lentilslip.runtime.node;

import io.lentilslip.client.log.LogService;
import io.lentilslip.client.vmlist.VmList;

/**
 * The services of the platform that processes of both roles use. Safe for use by several
 * threads. Whoever creates one closes it, after the last {@link Node} that uses it.
 *
 * @param log the log service
 * @param vms the list of VMs
 */
public record Platform(LogService log, VmList vms) implements AutoCloseable {

	@Override
	public void close() {
		this.vms.close();
		this.log.close();
	}

}
