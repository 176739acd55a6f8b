package io.lentilslip.settings.process;

import java.util.Objects;

import io.lentilslip.core.configuration.Endpoint;

/**
 * Where the platform's services are. Immutable and safe for use by several threads.
 *
 * @param logService the append-only log service
 * @param vmList the list of live and leaving VMs
 * @param weightStore the weight store
 */
public record PlatformAddresses(Endpoint logService, Endpoint vmList, Endpoint weightStore) {

	/**
	 * Creates addresses.
	 * @param logService the append-only log service
	 * @param vmList the list of live and leaving VMs
	 * @param weightStore the weight store
	 */
	public PlatformAddresses {
		Objects.requireNonNull(logService, "logService");
		Objects.requireNonNull(vmList, "vmList");
		Objects.requireNonNull(weightStore, "weightStore");
	}

}
