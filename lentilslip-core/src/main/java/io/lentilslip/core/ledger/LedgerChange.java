package io.lentilslip.core.ledger;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;

/**
 * What a record changed. Implementations are immutable and safe for use by several
 * threads.
 */
public sealed interface LedgerChange {

	/**
	 * A program got a home.
	 *
	 * @param program the program
	 * @param state its state
	 * @param before the home before, or the new one if the program is new
	 */
	record HomeChanged(ProgramId program, ProgramState state, ProcessId previousHome) implements LedgerChange {

	}

	/**
	 * A turn became part of a program's history.
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
	 * A claimed call has its outcome.
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
	 * The crashes that a request is blamed for have another number.
	 *
	 * @param content the digest of the request
	 * @param count the crashes counted
	 */
	record CrashCountChanged(Digest content, int count) implements LedgerChange {

	}

	/**
	 * Tokens of a group's budget were reserved for an entry.
	 *
	 * @param record the reservation
	 * @param state what the log says of the budget now
	 */
	record SliceGranted(LedgerRecord.SliceReserved record, BudgetState state) implements LedgerChange {

	}

	/**
	 * Reserved tokens are free again.
	 *
	 * @param record the return
	 * @param state what the log says of the budget now
	 */
	record SliceReturned(LedgerRecord.SliceReturned record, BudgetState state) implements LedgerChange {

	}

	/**
	 * A record that took no effect.
	 *
	 * @param record the record
	 * @param reason why it took no effect
	 */
	record Voided(LedgerRecord record, VoidReason reason) implements LedgerChange {

	}

	/**
	 * Why a record took no effect.
	 */
	enum VoidReason {

		/**
		 * Another claim of the same or a later epoch came first.
		 */
		EPOCH_TAKEN,

		/**
		 * The epoch of the record is not the program's.
		 */
		EPOCH_SUPERSEDED,

		/**
		 * The turn does not follow the last one, for instance as the second copy of an
		 * append whose answer was lost.
		 */
		TURN_NOT_NEXT,

		/**
		 * The program, or its parent, has ended.
		 */
		PROGRAM_ENDED,

		/**
		 * The log does not know the program or claim.
		 */
		UNKNOWN,

		/**
		 * The call is claimed already.
		 */
		CALL_TAKEN,

		/**
		 * The writer is not the executor, or the call is settled already.
		 */
		NOT_EXECUTOR,

		/**
		 * The limit of the group's budget leaves less than what was to be reserved.
		 */
		BUDGET_EXHAUSTED,

		/**
		 * The entry's record of that sequence, or a later one, came first.
		 */
		SLICE_REPEATED,

		/**
		 * The tokens to return are not reserved for the entry in the present period.
		 */
		SLICE_UNKNOWN

	}

}
