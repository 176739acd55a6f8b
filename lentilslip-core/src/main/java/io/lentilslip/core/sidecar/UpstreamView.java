package io.lentilslip.core.sidecar;

/**
 * What is known of the upstream. Immutable and safe for use by several threads.
 *
 * @param reachable whether it answers
 * @param incarnation the number of its life, or 0
 * @param heldTokens the tokens of memory it holds for sessions
 */
record UpstreamView(boolean reachable, long incarnation, long heldTokens) {

	static UpstreamView unknown() {
		return new UpstreamView(false, 0, 0);
	}

	UpstreamView unreachable() {
		return new UpstreamView(false, this.incarnation, this.heldTokens);
	}

}
