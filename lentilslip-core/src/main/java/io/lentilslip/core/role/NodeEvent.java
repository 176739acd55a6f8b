package io.lentilslip.core.role;

import java.time.Instant;
import java.util.Set;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.identity.VmName;

/**
 * Event of a process of either role. Implementations are immutable and thread-safe.
 */
public sealed interface NodeEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * A configuration was accepted.
	 *
	 * @param version its version, which is the offset of its record
	 * @param configuration the configuration
	 * @param now the time of the event by the local monotonic clock
	 */
	record ConfigurationAccepted(long version, Configuration configuration, Instant now) implements NodeEvent {

	}

	/**
	 * The list of VMs was read. The list may be stale: a VM missing from it may be
	 * running, and a listed one may have stopped.
	 *
	 * @param live the VMs listed as live
	 * @param draining the VMs listed as draining
	 * @param now the time of the event by the local monotonic clock
	 */
	record VmListRead(Set<VmName> live, Set<VmName> draining, Instant now) implements NodeEvent {

	}

	/**
	 * A periodic tick.
	 *
	 * @param now the time of the event by the local monotonic clock
	 * @param seed a seed for random decisions
	 */
	record Ticked(Instant now, long seed) implements NodeEvent {

	}

	/**
	 * A shutdown was requested.
	 *
	 * @param now the time of the event by the local monotonic clock
	 */
	record StopRequested(Instant now) implements NodeEvent {

	}

}
