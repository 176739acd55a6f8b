package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProcessId;

/**
 * What operators see of a sidecar. Immutable and safe for use by several threads.
 *
 * @param process the process
 * @param configurationVersion the version in force, or -1
 * @param logOffset the offset of the next record to read
 * @param upstreamUp whether the upstream answers
 * @param entries the entries linked
 * @param queued the calls waiting
 * @param running the calls at the upstream
 * @param limit the most calls at the upstream at once
 * @param homes the programs whose home it is
 * @param pendingTurns the turns not yet in the log
 * @param heldSessions the programs whose cache is held in the engine
 * @param heldTokens the tokens of engine memory held for them
 * @param stopping whether the process takes no new work
 */
public record SidecarStatus(ProcessId process, long configurationVersion, long logOffset, boolean upstreamUp,
		int entries, int queued, int running, int limit, int homes, int pendingTurns, int heldSessions, long heldTokens,
		boolean stopping) {

}
