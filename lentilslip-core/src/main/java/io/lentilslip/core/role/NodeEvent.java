package io.lentilslip.core.role;

import java.time.Instant;
import java.util.Set;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.identity.VmName;

/**
 * What happens to a process of either role. Implementations are immutable and safe for
 * use by several threads.
 */
public sealed interface NodeEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * A configuration came into force.
	 *
	 * @param version its version: the offset of its record
	 * @param configuration the configuration
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record ConfigurationAccepted(long version, Configuration configuration, Instant now) implements NodeEvent {

	}

	/**
	 * The list of VMs was read. It lags: a VM missing from it may run, and one on it may
	 * be gone.
	 *
	 * @param live the VMs said to be live
	 * @param leaving the VMs said to be leaving
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record VmListRead(Set<VmName> live, Set<VmName> draining, Instant now) implements NodeEvent {

	}

	/**
	 * Some time passed.
	 *
	 * @param now the time of the event, by a clock of this process that never goes back
	 * @param seed a random number for the decisions that follow
	 */
	record Ticked(Instant now, long seed) implements NodeEvent {

	}

	/**
	 * The process was asked to stop.
	 *
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record StopRequested(Instant now) implements NodeEvent {

	}

}
