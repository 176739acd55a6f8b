package io.lentilslip.core.configuration;

import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * Immutable policy of an upstream and its sidecar. Thread-safe.
 *
 * @param vm the VM that the upstream and its sidecar run on
 * @param zone the availability zone of the VM
 * @param sidecar the address at which the sidecar accepts connections from entries and
 * other sidecars
 * @param address the address of the upstream
 * @param kind the kind of the upstream
 * @param maximumCalls the maximum number of concurrent calls at the upstream
 */
public record UpstreamPolicy(VmName vm, ZoneName zone, Endpoint sidecar, Endpoint address, UpstreamKind kind,
		int maximumCalls) {

	/**
	 * Creates the policy of an upstream.
	 * @param vm the VM that the upstream and its sidecar run on
	 * @param zone the availability zone of the VM
	 * @param sidecar the address at which the sidecar accepts connections from entries
	 * and other sidecars
	 * @param address the address of the upstream
	 * @param kind the kind of the upstream
	 * @param maximumCalls the maximum number of concurrent calls at the upstream
	 * @throws IllegalArgumentException if the maximum number of calls is not positive
	 */
	public UpstreamPolicy {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(sidecar, "sidecar");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(kind, "kind");
		Requirement.positive("maximum calls", maximumCalls);
	}

}
