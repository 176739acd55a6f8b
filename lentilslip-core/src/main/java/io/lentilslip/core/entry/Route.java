package io.lentilslip.core.entry;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;

/**
 * How the sidecar that runs a call is found. Implementations are immutable and safe for
 * use by several threads.
 */
sealed interface Route {

	/**
	 * By the home of its program.
	 *
	 * @param program the program
	 */
	record ForHome(ProgramId program) implements Route {

	}

	/**
	 * By the claim of the call in the log.
	 *
	 * @param key the key of the call
	 */
	record ForClaim(CallKey key) implements Route {

	}

	/**
	 * Any upstream will do.
	 */
	record ForAny() implements Route {

	}

}
