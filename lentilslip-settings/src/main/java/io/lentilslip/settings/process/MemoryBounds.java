package io.lentilslip.settings.process;

/**
 * Bounds of what one process holds in memory; at each of them the process refuses or
 * slows down, rather than running out of memory with all its programs. Immutable and safe
 * for use by several threads.
 *
 * @param queuedEvents the most events that wait for the reducer
 * @param linkSendBytes the most bytes that wait to be sent on one link
 * @param pendingAppends the most records that wait to be appended to the log
 * @param historyBytes the most bytes of programs' histories held
 */
public record MemoryBounds(int queuedEvents, long linkSendBytes, int pendingAppends, long historyBytes) {

	/**
	 * What a process keeps to unless told otherwise, chosen for a VM with a heap of 512
	 * MiB.
	 */
	public static final MemoryBounds DEFAULT = new MemoryBounds(65_536, 16L << 20, 20_000, 256L << 20);

	/**
	 * Creates bounds.
	 * @param queuedEvents the most events that wait for the reducer
	 * @param linkSendBytes the most bytes that wait to be sent on one link
	 * @param pendingAppends the most records that wait to be appended to the log
	 * @param historyBytes the most bytes of programs' histories held
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public MemoryBounds {
		if (queuedEvents <= 0 || linkSendBytes <= 0 || pendingAppends <= 0 || historyBytes <= 0) {
			throw new IllegalArgumentException("each bound must be positive");
		}
	}

}
