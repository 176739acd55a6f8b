package io.lentilslip.core.role;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.ledger.Ledger;

/**
 * What a process has read of the log. Immutable and safe for use by several threads.
 *
 * @param ledger the reading of the records
 * @param nextOffset the offset of the next record to read
 * @param lastRecordTime the log's time of the last record read
 * @param unreachableSince since when the log cannot be read, if it cannot
 * @param catchUpCount how often all records that the log held had been read
 */
public record LogView(Ledger ledger, long nextOffset, Instant lastRecordTime, Optional<Instant> unreachableSince,
		long catchUpCount) {

	/**
	 * Returns the view of a process that has read nothing.
	 * @return a view without records
	 */
	public static LogView empty() {
		return new LogView(Ledger.withRetention(Ledger.RETENTION), 0, Instant.EPOCH, Optional.empty(), 0);
	}

	/**
	 * Returns whether a record has been read.
	 * @param offset the offset of the record
	 * @return whether it has been read
	 */
	public boolean hasRead(long offset) {
		return offset < this.nextOffset;
	}

	/**
	 * Returns this view with another ledger.
	 * @param read the ledger
	 * @return the view
	 */
	public LogView withLedger(Ledger read) {
		return new LogView(read, this.nextOffset, this.lastRecordTime, this.unreachableSince, this.catchUpCount);
	}

	/**
	 * Returns this view after a record was read to its end.
	 * @param offset the offset of the next record
	 * @param at the log's time of the record
	 * @return the view
	 */
	public LogView advanceTo(long offset, Instant at) {
		return new LogView(this.ledger, offset, at, Optional.empty(), this.catchUpCount);
	}

	/**
	 * Returns this view after the log could not be read.
	 * @param now the time of this process
	 * @return the view
	 */
	public LogView unreachable(Instant now) {
		return new LogView(this.ledger, this.nextOffset, this.lastRecordTime,
				Optional.of(this.unreachableSince.orElse(now)), this.catchUpCount);
	}

	/**
	 * Returns this view after all records were read that the log held.
	 * @return the view
	 */
	public LogView caughtUp() {
		return new LogView(this.ledger, this.nextOffset, this.lastRecordTime, Optional.empty(), this.catchUpCount + 1);
	}

	/**
	 * Returns whether the log can be read, as far as is known.
	 * @return whether it can be read
	 */
	public boolean isReachable() {
		return this.unreachableSince.isEmpty();
	}

}
