package io.lentilslip.core.ledger;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;

/**
 * Immutable changes made by a record. Safe for use by several threads.
 */
public sealed interface LedgerChange {

	/**
	 * The home of a program was claimed.
	 *
	 * @param program the program
	 * @param state its state
	 * @param previousHome the previous home, or the new one if the program is new
	 */
	record HomeChanged(ProgramId program, ProgramState state, ProcessId previousHome) implements LedgerChange {

	}

	/**
	 * A turn was added to the history of a program.
	 *
	 * @param program the program
	 * @param state the program's state with the turn
	 * @param turn the turn
	 */
	record TurnAdded(ProgramId program, ProgramState state, Turn turn) implements LedgerChange {

	}

	/**
	 * A program ended.
	 *
	 * @param program the program
	 * @param state its state
	 * @param reason why it ended
	 */
	record ProgramEnded(ProgramId program, ProgramState state, EndReason reason) implements LedgerChange {

	}

	/**
	 * A call was claimed.
	 *
	 * @param key the key of the call
	 * @param state the claim
	 */
	record CallClaimed(CallKey key, ClaimState state) implements LedgerChange {

	}

	/**
	 * The outcome of a claimed call was committed.
	 *
	 * @param key the key of the call
	 * @param state the claim with the outcome
	 */
	record CallCompleted(CallKey key, ClaimState state) implements LedgerChange {

	}

	/**
	 * A claim was released: the call did not run, and any process may claim it.
	 *
	 * @param key the key of the call
	 * @param executor the process that released it
	 */
	record CallReleased(CallKey key, ProcessId executor) implements LedgerChange {

	}

	/**
	 * The number of crashes counted for a request changed.
	 *
	 * @param content the digest of the request
	 * @param count the number of counted crashes
	 */
	record CrashCountChanged(Digest content, int count) implements LedgerChange {

	}

	/**
	 * Tokens of a group's budget were reserved for an entry.
	 *
	 * @param record the reservation
	 * @param state the new state of the budget
	 */
	record SliceGranted(LedgerRecord.SliceReserved record, BudgetState state) implements LedgerChange {

	}

	/**
	 * Reserved tokens were returned.
	 *
	 * @param record the return
	 * @param state the new state of the budget
	 */
	record SliceReturned(LedgerRecord.SliceReturned record, BudgetState state) implements LedgerChange {

	}

	/**
	 * A record had no effect.
	 *
	 * @param record the record
	 * @param reason why it had no effect
	 */
	record Voided(LedgerRecord record, VoidReason reason) implements LedgerChange {

	}

	/**
	 * Why a record had no effect.
	 */
	enum VoidReason {

		/**
		 * An earlier record claimed the same or a later epoch.
		 */
		EPOCH_TAKEN,

		/**
		 * The epoch of the record is not the current one of the program.
		 */
		EPOCH_SUPERSEDED,

		/**
		 * The number of the turn does not follow the last one, for example in the
		 * duplicate of an append that was retried without an acknowledgment.
		 */
		TURN_NOT_NEXT,

		/**
		 * The program, or its parent, has ended.
		 */
		PROGRAM_ENDED,

		/**
		 * There is no such program or claim.
		 */
		UNKNOWN,

		/**
		 * The call is already claimed.
		 */
		CALL_TAKEN,

		/**
		 * The writer is not the executor, or the call already has an outcome.
		 */
		NOT_EXECUTOR,

		/**
		 * The reservation exceeds the remaining budget of the group.
		 */
		BUDGET_EXHAUSTED,

		/**
		 * A record of the entry with the same or a higher sequence number came first.
		 */
		SLICE_REPEATED,

		/**
		 * The entry has not reserved the returned tokens in the current period.
		 */
		SLICE_UNKNOWN

	}

}
