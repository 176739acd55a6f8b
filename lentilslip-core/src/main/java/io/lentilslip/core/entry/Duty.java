package io.lentilslip.core.entry;

import io.lentilslip.core.ledger.LedgerRecord;

/**
 * Something to look at when its time comes. It may have become needless by then.
 * Implementations are immutable and safe for use by several threads.
 */
sealed interface Duty {

	/**
	 * The deadline of a call has come.
	 *
	 * @param ticket the call
	 */
	record GiveUp(Ticket ticket) implements Duty {

	}

	/**
	 * A waiting call may find its way now.
	 *
	 * @param ticket the call
	 */
	record LookAgain(Ticket ticket) implements Duty {

	}

	/**
	 * A claim that failed may be appended again.
	 *
	 * @param route what was claimed
	 * @param record the claim
	 */
	record ClaimAgain(Route route, LedgerRecord record) implements Duty {

	}

	/**
	 * A claim should be in the log.
	 *
	 * @param route what was claimed
	 * @param claim the number of the claim
	 */
	record GiveUpClaim(Route route, long claim) implements Duty {

	}

	/**
	 * A record of a slice that failed may be appended again.
	 *
	 * @param record the record
	 */
	record SliceAgain(LedgerRecord record) implements Duty {

	}

	/**
	 * A call should have its slice.
	 *
	 * @param ticket the call
	 */
	record GiveUpSlice(Ticket ticket) implements Duty {

	}

	/**
	 * A program that was to end should have ended, or a question should have its answer.
	 *
	 * @param ticket the request
	 */
	record GiveUpQuestion(Ticket ticket) implements Duty {

	}

}
