package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.AttemptId;

/**
 * Immutable attempt that waits for the outcome of a job. Safe for use by several threads.
 *
 * @param attempt the attempt
 * @param entry the entry that sent it
 * @param nextSequence the sequence number of the next part of the answer
 */
record Listener(AttemptId attempt, ProcessId entry, int nextSequence) {

	/**
	 * Returns this listener with the sequence number advanced by one.
	 * @return the listener
	 */
	Listener afterDelta() {
		return new Listener(this.attempt, this.entry, this.nextSequence + 1);
	}

}
