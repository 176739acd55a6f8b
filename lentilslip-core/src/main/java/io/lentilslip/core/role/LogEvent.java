package io.lentilslip.core.role;

import java.time.Instant;
import java.util.List;

import io.lentilslip.core.ledger.LedgerRecord;

/**
 * Event of the log service. Implementations are immutable and thread-safe.
 */
public sealed interface LogEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * The next log record was read.
	 *
	 * @param offset the offset of the log record
	 * @param logTime the log's timestamp of the record
	 * @param batch the ledger records that it contains, in order
	 * @param now the time of the event by the local monotonic clock
	 */
	record BatchRead(long offset, Instant logTime, List<LedgerRecord> batch, Instant now) implements LogEvent {

		/**
		 * Creates an event.
		 * @param offset the offset of the log record
		 * @param logTime the log's timestamp of the record
		 * @param batch the ledger records that it contains, in order
		 * @param now the time of the event by the local monotonic clock
		 */
		public BatchRead {
			batch = List.copyOf(batch);
		}

	}

	/**
	 * All records up to the end of the log at the time of the request have been read.
	 *
	 * @param nextOffset the offset of the next append
	 * @param now the time of the event by the local monotonic clock
	 */
	record CaughtUp(long nextOffset, Instant now) implements LogEvent {

	}

	/**
	 * The log could not be read.
	 *
	 * @param now the time of the event by the local monotonic clock
	 */
	record Unreachable(Instant now) implements LogEvent {

	}

	/**
	 * Records were deleted by the log's retention before they were read.
	 *
	 * @param expectedOffset the offset to be read next
	 * @param firstOffset the first offset still in the log
	 * @param now the time of the event by the local monotonic clock
	 */
	record GapDetected(long expectedOffset, long firstOffset, Instant now) implements LogEvent {

	}

	/**
	 * An append has ended.
	 *
	 * @param append the append
	 * @param result the result
	 * @param now the time of the event by the local monotonic clock
	 */
	record AppendEnded(AppendId append, AppendResult result, Instant now) implements LogEvent {

	}

}
