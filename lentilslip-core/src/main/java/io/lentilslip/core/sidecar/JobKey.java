package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.link.AttemptId;

/**
 * Immutable identity of a job. Safe for use by several threads.
 */
sealed interface JobKey {

	/**
	 * A turn of a program.
	 *
	 * @param program the program
	 * @param number the number of the turn
	 */
	record ForTurn(ProgramId program, int number) implements JobKey {

	}

	/**
	 * A call claimed in the log.
	 *
	 * @param key the key of the call
	 */
	record ForClaim(CallKey key) implements JobKey {

	}

	/**
	 * A call that has neither a program nor a claim, so no other attempt can join its
	 * job.
	 *
	 * @param attempt the attempt that the job was created for
	 */
	record ForAttempt(AttemptId attempt) implements JobKey {

	}

}
