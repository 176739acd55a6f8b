package io.lentilslip.core.ledger;

/**
 * Immutable position of a ledger record in its stream: a log record contains a batch of
 * ledger records. Safe for use by several threads.
 *
 * @param offset the offset of the log record
 * @param index the index in the batch, starting at 0
 */
public record Position(long offset, int index) implements Comparable<Position> {

	@Override
	public int compareTo(Position other) {
		int byOffset = Long.compare(this.offset, other.offset);
		return (byOffset != 0) ? byOffset : Integer.compare(this.index, other.index);
	}

	@Override
	public String toString() {
		return this.offset + "." + this.index;
	}

}
