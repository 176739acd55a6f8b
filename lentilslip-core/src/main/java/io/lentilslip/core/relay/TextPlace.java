package io.lentilslip.core.relay;

import java.util.Optional;

/**
 * Where the log has the text of a turn, and what can be known of the text without it.
 * Immutable and safe for use by several threads.
 *
 * @param previous the turn that it continues from; empty at the start of a chain
 * @param bytes the bytes of the text
 * @param part the partition of the texts
 * @param from the offset at which or after which the text stands: the end of the
 * partition as its writer knew it, so that writing need not wait for the answer
 */
public record TextPlace(Optional<String> previous, int bytes, int part, long from) {

}
