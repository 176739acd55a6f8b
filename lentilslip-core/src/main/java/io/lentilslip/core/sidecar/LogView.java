package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.ledger.Ledger;

/**
 * What this process has read of the log. Immutable and safe for use by several threads.
 *
 * @param ledger the reading of the records
 * @param next the offset of the next record to read
 * @param time the log's time of the last record read
 * @param unreachableSince since when the log cannot be read, if it cannot
 */
record LogView(Ledger ledger, long next, Instant time, Optional<Instant> unreachableSince) {

	static LogView unread() {
		return new LogView(Ledger.remembering(Ledger.MEMORY), 0, Instant.EPOCH, Optional.empty());
	}

	LogView withLedger(Ledger read) {
		return new LogView(read, this.next, this.time, this.unreachableSince);
	}

	LogView readTo(long offset, Instant at) {
		return new LogView(this.ledger, offset, at, Optional.empty());
	}

	LogView unreachable(Instant now) {
		return new LogView(this.ledger, this.next, this.time, Optional.of(this.unreachableSince.orElse(now)));
	}

	LogView reachable() {
		return new LogView(this.ledger, this.next, this.time, Optional.empty());
	}

}
