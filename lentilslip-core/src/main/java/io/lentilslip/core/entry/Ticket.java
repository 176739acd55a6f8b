package io.lentilslip.core.entry;

/**
 * The number by which an entry knows one request of a caller. Immutable and safe for use
 * by several threads.
 *
 * @param value a number that this life of the entry uses once
 */
public record Ticket(long value) implements Comparable<Ticket> {

	@Override
	public int compareTo(Ticket other) {
		return Long.compare(this.value, other.value);
	}

}
