package io.lentilslip.core.ledger;

/**
 * The place of a ledger record in its stream: a log record holds a batch of ledger
 * records, so that many of them cost one append. Immutable and safe for use by several
 * threads.
 *
 * @param offset the offset of the log record
 * @param index the index in its batch, from 0
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
