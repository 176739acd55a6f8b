package io.lentilslip.core.entry;

import io.lentilslip.core.ledger.LedgerRecord;

/**
 * Timer that is checked against the current state when it fires; it may be obsolete by
 * then. Implementations are immutable and safe for use by several threads.
 */
sealed interface Timer {

	/**
	 * Expires a call at its deadline.
	 *
	 * @param ticket the call
	 */
	record CallDeadline(Ticket ticket) implements Timer {

	}

	/**
	 * Retries the routing of a waiting call.
	 *
	 * @param ticket the call
	 */
	record RouteRetry(Ticket ticket) implements Timer {

	}

	/**
	 * Retries the append of a claim.
	 *
	 * @param route the route of the claim
	 * @param record the claim
	 */
	record ClaimRetry(Route route, LedgerRecord record) implements Timer {

	}

	/**
	 * Expires a claim that has not appeared in the log.
	 *
	 * @param route the route of the claim
	 * @param claim the number of the claim
	 */
	record ClaimTimeout(Route route, long claim) implements Timer {

	}

	/**
	 * Retries the append of a slice record.
	 *
	 * @param record the record
	 */
	record SliceRetry(LedgerRecord record) implements Timer {

	}

	/**
	 * Expires the wait of a call for a slice.
	 *
	 * @param ticket the call
	 */
	record SliceTimeout(Ticket ticket) implements Timer {

	}

	/**
	 * Expires a request for the state or the end of a program.
	 *
	 * @param ticket the request
	 */
	record ProgramRequestTimeout(Ticket ticket) implements Timer {

	}

}
