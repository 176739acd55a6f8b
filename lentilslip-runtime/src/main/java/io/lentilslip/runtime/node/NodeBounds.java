package io.lentilslip.runtime.node;

import java.time.Duration;

/**
 * Bounds and intervals of a process. Immutable and safe for use by several threads.
 *
 * @param waitingEvents the number of waiting events from which work is refused
 * @param waitingAppends the most ledger records that wait to be appended
 * @param tick the time between two ticks
 * @param vmListInterval the time between two reads of the list of VMs
 */
public record NodeBounds(int waitingEvents, int waitingAppends, Duration tick, Duration vmListInterval) {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Returns bounds with the standard intervals: leaving VMs are known within a few
	 * seconds, and two thousand processes ask the platform a thousand times a second.
	 * @param waitingEvents the number of waiting events from which work is refused
	 * @param waitingAppends the most ledger records that wait to be appended
	 * @return the bounds
	 */
	public static NodeBounds of(int waitingEvents, int waitingAppends) {
		return new NodeBounds(waitingEvents, waitingAppends, TICK, VM_LIST_INTERVAL);
	}

}
