package io.lentilslip.core.sidecar;

/**
 * What is known of the upstream. Immutable and safe for use by several threads.
 *
 * @param up whether it answers
 * @param instance the number of its life, or 0
 * @param heldTokens the tokens of memory it holds for sessions
 */
record UpstreamView(boolean up, long instance, long heldTokens) {

	static UpstreamView unknown() {
		return new UpstreamView(false, 0, 0);
	}

	UpstreamView down() {
		return new UpstreamView(false, this.instance, this.heldTokens);
	}

}
