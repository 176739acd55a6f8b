package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.link.AttemptId;

/**
 * What identifies a piece of work for the upstream. Implementations are immutable and
 * safe for use by several threads.
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
	 * A call that nothing else will ask for.
	 *
	 * @param attempt the attempt that brought it
	 */
	record ForAttempt(AttemptId attempt) implements JobKey {

	}

}
