package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.AttemptId;

/**
 * An attempt that waits for the end of a job. Immutable and safe for use by several
 * threads.
 *
 * @param attempt the attempt
 * @param entry the entry that made it
 * @param nextSequence the number of the next part of the answer
 */
record Listener(AttemptId attempt, ProcessId entry, int nextSequence) {

	/**
	 * Returns this listener after one more part of the answer.
	 * @return the listener
	 */
	Listener afterDelta() {
		return new Listener(this.attempt, this.entry, this.nextSequence + 1);
	}

}
