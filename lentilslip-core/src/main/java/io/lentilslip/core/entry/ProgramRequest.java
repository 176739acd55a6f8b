package io.lentilslip.core.entry;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.link.AttemptId;

/**
 * Unanswered request for the state or the end of a program. Implementations are immutable
 * and safe for use by several threads.
 */
sealed interface ProgramRequest {

	/**
	 * Returns the program.
	 * @return the program
	 */
	ProgramId program();

	/**
	 * A request for the state of a program.
	 *
	 * @param program the program
	 * @param attempt the identifier of the query sent to its home
	 */
	record ForState(ProgramId program, AttemptId attempt) implements ProgramRequest {

	}

	/**
	 * A request to end a program.
	 *
	 * @param program the program
	 */
	record ForEnd(ProgramId program) implements ProgramRequest {

	}

}
