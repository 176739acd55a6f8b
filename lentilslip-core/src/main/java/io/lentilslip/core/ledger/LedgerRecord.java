package io.lentilslip.core.ledger;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;

/**
 * A record of the stream {@code programs}. A record asks for a change; whether it takes
 * effect is decided by {@link Ledger} from the records before it, the same in every
 * process. Implementations are immutable and safe for use by several threads.
 */
public sealed interface LedgerRecord {

	/**
	 * A claim of the home of a program. It takes effect if its epoch is the one after the
	 * program's epoch, so the first claim of an epoch wins and a repeated one is void.
	 *
	 * @param program the program
	 * @param epoch the epoch that begins
	 * @param home the sidecar that becomes the home
	 * @param parent the program whose sub-agent this one is, if there is one
	 */
	record ProgramClaimed(ProgramId program, Epoch epoch, ProcessId home,
			Optional<ProgramId> parent) implements LedgerRecord {

	}

	/**
	 * A turn of a program. It takes effect if its epoch is the program's epoch and its
	 * number follows the last turn, so a home that was replaced can add nothing.
	 *
	 * @param program the program
	 * @param epoch the epoch of the home that ran the turn
	 * @param turn the turn
	 * @param previous where the turn before it stands, so that a new home can read the
	 * history backwards without an index of all turns
	 */
	record TurnCommitted(ProgramId program, Epoch epoch, Turn turn,
			Optional<Position> previous) implements LedgerRecord {

	}

	/**
	 * The end of a program. It takes effect in any epoch.
	 *
	 * @param program the program
	 * @param reason why it ended
	 */
	record ProgramEnded(ProgramId program, EndReason reason) implements LedgerRecord {

	}

	/**
	 * A claim of a call that may not be repeated: only the named process may run it. It
	 * takes effect if the key is not claimed or its claim was released.
	 *
	 * @param key the key of the call
	 * @param content the digest of what is asked
	 * @param executor the process that may run it
	 */
	record CallClaimed(CallKey key, Digest content, ProcessId executor) implements LedgerRecord {

	}

	/**
	 * The outcome of a claimed call, written by its executor. An outcome that says
	 * {@code NOT_RUN} releases the claim: the executor will not run the call any more.
	 *
	 * @param key the key of the call
	 * @param executor the process that writes
	 * @param outcome the outcome
	 */
	record CallSettled(CallKey key, ProcessId executor, CallOutcome outcome) implements LedgerRecord {

	}

	/**
	 * A crash of an upstream while it ran a request. In company any of the requests may
	 * have caused it; alone it is certain.
	 *
	 * @param content the digest of the request
	 * @param sidecar the sidecar beside the upstream
	 * @param alone whether nothing else ran there
	 */
	record UpstreamCrashed(Digest content, ProcessId sidecar, boolean isolated) implements LedgerRecord {

	}

	/**
	 * The proof that a blamed request is harmless: it ran alone and nothing crashed.
	 *
	 * @param content the digest of the request
	 * @param sidecar the sidecar beside the upstream
	 */
	record CrashesCleared(Digest content, ProcessId sidecar) implements LedgerRecord {

	}

	/**
	 * A reservation of tokens of a group's budget. It takes effect if what is reserved in
	 * the period and these tokens stay within the limit of the newest configuration that
	 * the records of the group name.
	 *
	 * @param group the group
	 * @param tokens the tokens to reserve
	 * @param limit the tokens of one period in the configuration of the writer
	 * @param period the length of a period in that configuration
	 * @param configurationVersion the version of that configuration
	 * @param entry the entry that may spend them
	 * @param sequence a number that grows with the entry's records of the group, the same
	 * for a repeated append
	 */
	record SliceReserved(GroupName group, long tokens, long limit, Duration period, long configurationVersion,
			ProcessId entry, long sequence) implements LedgerRecord {

		/**
		 * The shortest length of a period.
		 */
		public static final Duration MIN_PERIOD = Duration.ofMillis(1);

		/**
		 * Creates a record.
		 * @param group the group
		 * @param tokens the tokens to reserve
		 * @param limit the tokens of one period in the configuration of the writer
		 * @param period the length of a period in that configuration
		 * @param configurationVersion the version of that configuration
		 * @param entry the entry that may spend them
		 * @param sequence a number that grows with the entry's records of the group
		 * @throws IllegalArgumentException if there are no tokens, the limit is negative,
		 * or the period is shorter than a millisecond
		 */
		public SliceReserved {
			if (tokens < 1 || limit < 0 || period.compareTo(MIN_PERIOD) < 0) {
				throw new IllegalArgumentException("not a reservation: " + tokens + " of " + limit + " in " + period);
			}
		}

	}

	/**
	 * The return of reserved tokens that were not spent. It takes effect in the period
	 * that they were reserved in.
	 *
	 * @param group the group
	 * @param periodIndex the period that they were reserved in
	 * @param tokens the tokens
	 * @param entry the entry that held them
	 * @param sequence a number that grows with the entry's records of the group, the same
	 * for a repeated append
	 */
	record SliceReturned(GroupName group, long periodIndex, long tokens, ProcessId entry,
			long sequence) implements LedgerRecord {

		/**
		 * Creates a record.
		 * @param group the group
		 * @param periodIndex the period that they were reserved in
		 * @param tokens the tokens
		 * @param entry the entry that held them
		 * @param sequence a number that grows with the entry's records of the group
		 * @throws IllegalArgumentException if there are no tokens
		 */
		public SliceReturned {
			if (tokens < 1) {
				throw new IllegalArgumentException("nothing to return: " + tokens);
			}
		}

	}

}
