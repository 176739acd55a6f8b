package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProcessId;

/**
 * Immutable status of a sidecar as shown to operators. Safe for use by several threads.
 *
 * @param process the process
 * @param configurationVersion the version of the active configuration, or -1
 * @param logOffset the offset of the next record to read
 * @param upstreamUp whether the upstream responds
 * @param entries the number of connected entries
 * @param queued the number of queued calls
 * @param running the number of calls running at the upstream
 * @param limit the maximum number of calls running at the upstream
 * @param homes the number of programs whose home is this sidecar
 * @param pendingTurns the number of uncommitted turns
 * @param heldSessions the number of programs whose cache is held in the engine
 * @param heldTokens the tokens of cache held in the engine
 * @param stopping whether the process is draining
 */
public record SidecarStatus(ProcessId process, long configurationVersion, long logOffset, boolean upstreamUp,
		int entries, int queued, int running, int limit, int homes, int pendingTurns, int heldSessions, long heldTokens,
		boolean stopping) {

}
