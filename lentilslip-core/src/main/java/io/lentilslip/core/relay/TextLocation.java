package io.lentilslip.core.relay;

import java.util.Optional;

/**
 * Where the log has the text of a turn, and what can be known of the text without it.
 * Immutable and safe for use by several threads.
 *
 * @param previous the turn that it continues from; empty at the start of a chain
 * @param bytes the bytes of the text
 * @param partition the partition of the texts
 * @param minOffset the offset at which or after which the text stands: the end of the
 * partition as its writer knew it, so that writing need not wait for the answer
 * @param origin the relay that ran the turn, and so had the texts of its whole chain;
 * empty if the writer does not say
 */
public record TextLocation(Optional<String> previous, int bytes, int partition, long minOffset,
		Optional<String> origin) {

	/**
	 * Creates a place whose writer does not say who ran the turn.
	 * @param previous the turn that it continues from; empty at the start of a chain
	 * @param bytes the bytes of the text
	 * @param partition the partition of the texts
	 * @param minOffset the offset at which or after which the text stands
	 */
	public TextLocation(Optional<String> previous, int bytes, int partition, long minOffset) {
		this(previous, bytes, partition, minOffset, Optional.empty());
	}

}
