package io.lentilslip.core.role;

import java.time.Instant;
import java.util.List;

import io.lentilslip.core.ledger.LedgerRecord;

/**
 * What a process learns of the log service. Implementations are immutable and safe for
 * use by several threads.
 */
public sealed interface LogEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * A log record was read: the next one of the stream.
	 *
	 * @param offset the offset of the log record
	 * @param time the log's time of the record
	 * @param batch the ledger records in it, in their order
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record BatchRead(long offset, Instant logTime, List<LedgerRecord> batch, Instant now) implements LogEvent {

		/**
		 * Creates a value.
		 * @param offset the offset of the log record
		 * @param time the log's time of the record
		 * @param batch the ledger records in it, in their order
		 * @param now the time of the event, by a clock of this process that never goes
		 * back
		 */
		public BatchRead {
			batch = List.copyOf(batch);
		}

	}

	/**
	 * All records that the log held when it was asked have been read.
	 *
	 * @param next the offset of the next append
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record CaughtUp(long nextOffset, Instant now) implements LogEvent {

	}

	/**
	 * The log could not be read.
	 *
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record Unreachable(Instant now) implements LogEvent {

	}

	/**
	 * Records passed the retention of the log before they were read.
	 *
	 * @param from the offset that was to be read
	 * @param first the oldest offset that is left
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record GapDetected(long expectedOffset, long firstOffset, Instant now) implements LogEvent {

	}

	/**
	 * An append ended.
	 *
	 * @param append the append
	 * @param result how it ended
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record AppendEnded(AppendId append, AppendResult result, Instant now) implements LogEvent {

	}

}
