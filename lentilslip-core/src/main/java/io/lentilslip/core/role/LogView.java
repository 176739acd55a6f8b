package io.lentilslip.core.role;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.ledger.Ledger;

/**
 * Immutable view of the log as read by a process. Thread-safe.
 *
 * @param ledger the ledger built from the records
 * @param nextOffset the offset of the next record to read
 * @param lastRecordTime the log's timestamp of the last record read
 * @param unreachableSince the time since which the log has been unreachable, if it is
 * @param catchUpCount how often the process has caught up with the end of the log
 */
public record LogView(Ledger ledger, long nextOffset, Instant lastRecordTime, Optional<Instant> unreachableSince,
		long catchUpCount) {

	/**
	 * Returns the view before any record has been read.
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
	 * @param replacement the ledger
	 * @return the view
	 */
	public LogView withLedger(Ledger replacement) {
		return new LogView(replacement, this.nextOffset, this.lastRecordTime, this.unreachableSince, this.catchUpCount);
	}

	/**
	 * Returns this view after a record was processed.
	 * @param offset the offset of the next record
	 * @param logTime the log's timestamp of the record
	 * @return the view
	 */
	public LogView advanceTo(long offset, Instant logTime) {
		return new LogView(this.ledger, offset, logTime, Optional.empty(), this.catchUpCount);
	}

	/**
	 * Returns this view after a read of the log failed.
	 * @param now the local time
	 * @return the view
	 */
	public LogView unreachable(Instant now) {
		return new LogView(this.ledger, this.nextOffset, this.lastRecordTime,
				Optional.of(this.unreachableSince.orElse(now)), this.catchUpCount);
	}

	/**
	 * Returns this view after catching up with the end of the log.
	 * @return the view
	 */
	public LogView caughtUp() {
		return new LogView(this.ledger, this.nextOffset, this.lastRecordTime, Optional.empty(), this.catchUpCount + 1);
	}

	/**
	 * Returns whether the log is reachable, as last observed.
	 * @return whether it is reachable
	 */
	public boolean isReachable() {
		return this.unreachableSince.isEmpty();
	}

}
