package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * Immutable location of a turn's text in the log, with what a reader needs to know before
 * it has the text. Safe for use by several threads.
 *
 * @param previous the turn that this one continues; empty for the first turn of a chain
 * @param bytes the size of the text in bytes
 * @param partition the partition of the text
 * @param minOffset the lowest offset that the text can have: the end of the partition as
 * known to the writer before the append, so that the location need not wait for it
 * @param origin the relay that ran the turn, and so had the texts of its whole chain;
 * empty if unknown
 * @param retention for how long after the append the turn is retained, whether or not it
 * is continued; zero if unknown
 * @param renewed whether the text was appended again because its earlier record expires
 */
public record TextLocation(Optional<String> previous, int bytes, int partition, long minOffset, Optional<String> origin,
		Duration retention, boolean renewed) {

	/**
	 * Returns the location of another copy of the text, which replaces this one.
	 * @param newPartition the partition of the copy
	 * @param offset the lowest offset that the copy can have
	 * @param remaining for how long after the append the turn is retained
	 * @return the location
	 */
	TextLocation renewedAt(int newPartition, long offset, Duration remaining) {
		return new TextLocation(this.previous, this.bytes, newPartition, offset, this.origin, remaining, true);
	}

	/**
	 * Creates a location without a retention.
	 * @param previous the turn that this one continues; empty for the first turn of a
	 * chain
	 * @param bytes the size of the text in bytes
	 * @param partition the partition of the text
	 * @param minOffset the lowest offset that the text can have
	 * @param origin the relay that ran the turn; empty if unknown
	 */
	public TextLocation(Optional<String> previous, int bytes, int partition, long minOffset, Optional<String> origin) {
		this(previous, bytes, partition, minOffset, origin, Duration.ZERO, false);
	}

	/**
	 * Creates a location without an origin.
	 * @param previous the turn that this one continues; empty for the first turn of a
	 * chain
	 * @param bytes the size of the text in bytes
	 * @param partition the partition of the text
	 * @param minOffset the lowest offset that the text can have
	 */
	public TextLocation(Optional<String> previous, int bytes, int partition, long minOffset) {
		this(previous, bytes, partition, minOffset, Optional.empty());
	}

}
