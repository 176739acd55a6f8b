package io.lentilslip.core.entry;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;

/**
 * Rule that selects the sidecar of a call. Implementations are immutable and safe for use
 * by several threads.
 */
sealed interface Route {

	/**
	 * The home of the program.
	 *
	 * @param program the program
	 */
	record ForHome(ProgramId program) implements Route {

	}

	/**
	 * The executor that claimed the call in the log.
	 *
	 * @param key the key of the call
	 */
	record ForClaim(CallKey key) implements Route {

	}

	/**
	 * Any available upstream.
	 */
	record ForAny() implements Route {

	}

}
