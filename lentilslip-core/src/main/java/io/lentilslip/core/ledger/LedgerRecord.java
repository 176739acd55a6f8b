package io.lentilslip.core.ledger;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;

/**
 * Immutable record of the stream {@code programs}. A record requests a change;
 * {@link Ledger} decides from the preceding records whether it takes effect, with the
 * same result in every process. Safe for use by several threads.
 */
public sealed interface LedgerRecord {

	/**
	 * A claim of the home of a program. It takes effect if its epoch is the successor of
	 * the program's epoch, so that the first claim of an epoch wins and duplicates have
	 * no effect.
	 *
	 * @param program the program
	 * @param epoch the epoch that starts with the claim
	 * @param home the sidecar that becomes the home
	 * @param parent the program whose sub-agent this one is, if there is one
	 */
	record ProgramClaimed(ProgramId program, Epoch epoch, ProcessId home,
			Optional<ProgramId> parent) implements LedgerRecord {

	}

	/**
	 * A turn of a program. It takes effect if its epoch is the program's epoch and its
	 * number follows the last turn, so that a superseded home can't add turns.
	 *
	 * @param program the program
	 * @param epoch the epoch of the home that ran the turn
	 * @param turn the turn
	 * @param previous the position of the previous turn, so that a new home can read the
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
	 * A claim of a call that may not be repeated: only the executor may run it. It takes
	 * effect if the key has no claim.
	 *
	 * @param key the key of the call
	 * @param content the digest of the request
	 * @param executor the process that may run it
	 */
	record CallClaimed(CallKey key, Digest content, ProcessId executor) implements LedgerRecord {

	}

	/**
	 * The outcome of a claimed call, appended by its executor. The outcome {@code
	 * NOT_RUN} releases the claim: the executor will not run the call.
	 *
	 * @param key the key of the call
	 * @param executor the process that appends the record
	 * @param outcome the outcome
	 */
	record CallSettled(CallKey key, ProcessId executor, CallOutcome outcome) implements LedgerRecord {

	}

	/**
	 * A crash of an upstream while it ran a request. Only a crash in isolation shows that
	 * the request is the cause.
	 *
	 * @param content the digest of the request
	 * @param sidecar the sidecar of the upstream
	 * @param isolated whether no other request was running
	 */
	record UpstreamCrashed(Digest content, ProcessId sidecar, boolean isolated) implements LedgerRecord {

	}

	/**
	 * The clearing of the crashes counted for a request, after it ran in isolation
	 * without a crash.
	 *
	 * @param content the digest of the request
	 * @param sidecar the sidecar of the upstream
	 */
	record CrashesCleared(Digest content, ProcessId sidecar) implements LedgerRecord {

	}

	/**
	 * A reservation of tokens of a group's budget. It takes effect if the tokens reserved
	 * in the period stay within the limit of the newest configuration in the records of
	 * the group.
	 *
	 * @param group the group
	 * @param tokens the tokens to reserve
	 * @param limit the limit in the configuration of the writer, in tokens per period
	 * @param period the length of a period in that configuration
	 * @param configurationVersion the version of that configuration
	 * @param entry the entry that may use the tokens
	 * @param sequence a number that increases with the entry's records of the group and
	 * stays the same when an append is retried
	 */
	record SliceReserved(GroupName group, long tokens, long limit, Duration period, long configurationVersion,
			ProcessId entry, long sequence) implements LedgerRecord {

		/**
		 * The minimum length of a period.
		 */
		public static final Duration MIN_PERIOD = Duration.ofMillis(1);

		/**
		 * Creates a record.
		 * @param group the group
		 * @param tokens the tokens to reserve
		 * @param limit the limit in the configuration of the writer, in tokens per period
		 * @param period the length of a period in that configuration
		 * @param configurationVersion the version of that configuration
		 * @param entry the entry that may use the tokens
		 * @param sequence a number that increases with the entry's records of the group
		 * @throws IllegalArgumentException if the tokens are less than 1, the limit is
		 * negative, or the period is shorter than {@link #MIN_PERIOD}
		 */
		public SliceReserved {
			if (tokens < 1 || limit < 0 || period.compareTo(MIN_PERIOD) < 0) {
				throw new IllegalArgumentException(
						"invalid reservation: " + tokens + " tokens, limit " + limit + ", period " + period);
			}
		}

	}

	/**
	 * The return of reserved tokens that were not used. It takes effect only in the
	 * period of the reservation.
	 *
	 * @param group the group
	 * @param periodIndex the number of the period of the reservation
	 * @param tokens the tokens
	 * @param entry the entry that reserved the tokens
	 * @param sequence a number that increases with the entry's records of the group and
	 * stays the same when an append is retried
	 */
	record SliceReturned(GroupName group, long periodIndex, long tokens, ProcessId entry,
			long sequence) implements LedgerRecord {

		/**
		 * Creates a record.
		 * @param group the group
		 * @param periodIndex the number of the period of the reservation
		 * @param tokens the tokens
		 * @param entry the entry that reserved the tokens
		 * @param sequence a number that increases with the entry's records of the group
		 * @throws IllegalArgumentException if the tokens are less than 1
		 */
		public SliceReturned {
			if (tokens < 1) {
				throw new IllegalArgumentException("invalid number of tokens to return: " + tokens);
			}
		}

	}

}
