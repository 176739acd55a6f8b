package io.lentilslip.core.sidecar;

/**
 * Immutable view of the upstream's last report. Safe for use by several threads.
 *
 * @param reachable whether the upstream responds
 * @param incarnation the incarnation of the upstream, or 0 if unknown
 * @param heldTokens the tokens of cache held for sessions
 */
record UpstreamView(boolean reachable, long incarnation, long heldTokens) {

	static UpstreamView unknown() {
		return new UpstreamView(false, 0, 0);
	}

	UpstreamView unreachable() {
		return new UpstreamView(false, this.incarnation, this.heldTokens);
	}

}
