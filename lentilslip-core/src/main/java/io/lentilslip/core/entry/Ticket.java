package io.lentilslip.core.entry;

/**
 * Identifier of a caller's request within one incarnation of an entry. Immutable and safe
 * for use by several threads.
 *
 * @param value a number that is unique within the incarnation
 */
public record Ticket(long value) implements Comparable<Ticket> {

	@Override
	public int compareTo(Ticket other) {
		return Long.compare(this.value, other.value);
	}

}
