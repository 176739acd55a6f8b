package io.lentilslip.core.configuration;

import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * An upstream and the sidecar that stands before it. Immutable and safe for use by
 * several threads.
 *
 * @param vm the VM that the upstream and its sidecar run on
 * @param zone the availability zone of the VM
 * @param sidecar where the sidecar takes calls from entries and other sidecars
 * @param address where the sidecar finds the upstream itself
 * @param kind what the upstream is
 * @param maximumCalls the most calls the upstream may be given at once
 */
public record UpstreamPolicy(VmName vm, ZoneName zone, Endpoint sidecar, Endpoint address, UpstreamKind kind,
		int maximumCalls) {

	/**
	 * Creates the policy of an upstream.
	 * @param vm the VM that the upstream and its sidecar run on
	 * @param zone the availability zone of the VM
	 * @param sidecar where the sidecar takes calls from entries and other sidecars
	 * @param address where the sidecar finds the upstream itself
	 * @param kind what the upstream is
	 * @param maximumCalls the most calls the upstream may be given at once
	 * @throws IllegalArgumentException if the upstream may be given no call
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
