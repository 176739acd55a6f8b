package io.lentilslip.wire.relay;

import java.util.Optional;

import io.lentilslip.core.relay.LedgerEntry;
import io.vavr.control.Either;

/**
 * A record of the log as it was read. One that is no entry here, since another version
 * wrote it, may still say when it was written. Immutable and safe for use by several
 * threads.
 *
 * @param entry the reason why it is no entry on the left, or the entry on the right
 * @param timestamp when it was written; empty if it does not say
 */
public record DecodedEntry(Either<String, LedgerEntry> entry, Optional<EntryTimestamp> timestamp) {

}
