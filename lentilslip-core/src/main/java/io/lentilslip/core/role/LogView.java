package io.lentilslip.core.role;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.ledger.Ledger;

/**
 * What a process has read of the log. Immutable and safe for use by several threads.
 *
 * @param ledger the reading of the records
 * @param next the offset of the next record to read
 * @param time the log's time of the last record read
 * @param unreachableSince since when the log cannot be read, if it cannot
 * @param rounds how often all records that the log held had been read
 */
public record LogView(Ledger ledger, long next, Instant time, Optional<Instant> unreachableSince, long rounds) {

	/**
	 * Returns the view of a process that has read nothing.
	 * @return a view without records
	 */
	public static LogView unread() {
		return new LogView(Ledger.withRetention(Ledger.RETENTION), 0, Instant.EPOCH, Optional.empty(), 0);
	}

	/**
	 * Returns whether a record has been read.
	 * @param offset the offset of the record
	 * @return whether it has been read
	 */
	public boolean hasRead(long offset) {
		return offset < this.next;
	}

	/**
	 * Returns this view with another ledger.
	 * @param read the ledger
	 * @return the view
	 */
	public LogView withLedger(Ledger read) {
		return new LogView(read, this.next, this.time, this.unreachableSince, this.rounds);
	}

	/**
	 * Returns this view after a record was read to its end.
	 * @param offset the offset of the next record
	 * @param at the log's time of the record
	 * @return the view
	 */
	public LogView readTo(long offset, Instant at) {
		return new LogView(this.ledger, offset, at, Optional.empty(), this.rounds);
	}

	/**
	 * Returns this view after the log could not be read.
	 * @param now the time of this process
	 * @return the view
	 */
	public LogView unreachable(Instant now) {
		return new LogView(this.ledger, this.next, this.time, Optional.of(this.unreachableSince.orElse(now)),
				this.rounds);
	}

	/**
	 * Returns this view after all records were read that the log held.
	 * @return the view
	 */
	public LogView reachable() {
		return new LogView(this.ledger, this.next, this.time, Optional.empty(), this.rounds + 1);
	}

	/**
	 * Returns whether the log can be read, as far as is known.
	 * @return whether it can be read
	 */
	public boolean isReachable() {
		return this.unreachableSince.isEmpty();
	}

}
