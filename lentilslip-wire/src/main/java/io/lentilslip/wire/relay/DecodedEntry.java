package io.lentilslip.wire.relay;

import java.util.Optional;

import io.lentilslip.core.relay.LedgerEntry;
import io.vavr.control.Either;

/**
 * The result of decoding a record of the log. A record of another version may have a
 * timestamp even if its entry cannot be decoded. Immutable and safe for use by several
 * threads.
 *
 * @param entry the error on the left, or the entry on the right
 * @param timestamp when the entry was written; empty if the record does not contain it
 */
public record DecodedEntry(Either<String, LedgerEntry> entry, Optional<EntryTimestamp> timestamp) {

}
