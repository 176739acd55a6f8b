package io.lentilslip.core.entry;

import io.lentilslip.core.ledger.LedgerRecord;

/**
 * Something to look at when its time comes. It may have become needless by then.
 * Implementations are immutable and safe for use by several threads.
 */
sealed interface Timer {

	/**
	 * The deadline of a call has come.
	 *
	 * @param ticket the call
	 */
	record CallDeadline(Ticket ticket) implements Timer {

	}

	/**
	 * A waiting call may find its way now.
	 *
	 * @param ticket the call
	 */
	record RouteRetry(Ticket ticket) implements Timer {

	}

	/**
	 * A claim that failed may be appended again.
	 *
	 * @param route what was claimed
	 * @param record the claim
	 */
	record ClaimRetry(Route route, LedgerRecord record) implements Timer {

	}

	/**
	 * A claim should be in the log.
	 *
	 * @param route what was claimed
	 * @param claim the number of the claim
	 */
	record ClaimTimeout(Route route, long claim) implements Timer {

	}

	/**
	 * A record of a slice that failed may be appended again.
	 *
	 * @param record the record
	 */
	record SliceRetry(LedgerRecord record) implements Timer {

	}

	/**
	 * A call should have its slice.
	 *
	 * @param ticket the call
	 */
	record SliceTimeout(Ticket ticket) implements Timer {

	}

	/**
	 * A program that was to end should have ended, or a question should have its answer.
	 *
	 * @param ticket the request
	 */
	record ProgramRequestTimeout(Ticket ticket) implements Timer {

	}

}
