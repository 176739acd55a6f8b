package io.lentilslip.core.entry;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.link.AttemptId;

/**
 * A request about a program that waits for its answer. Implementations are immutable and
 * safe for use by several threads.
 */
sealed interface ProgramRequest {

	/**
	 * Returns the program.
	 * @return the program
	 */
	ProgramId program();

	/**
	 * The state of the program is asked for.
	 *
	 * @param program the program
	 * @param attempt the number under which its home was asked
	 */
	record ForState(ProgramId program, AttemptId attempt) implements ProgramRequest {

	}

	/**
	 * The program is to end.
	 *
	 * @param program the program
	 */
	record ForEnd(ProgramId program) implements ProgramRequest {

	}

}
