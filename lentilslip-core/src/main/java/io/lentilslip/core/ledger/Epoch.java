package io.lentilslip.core.ledger;

/**
 * The number of a program's home. It grows by one with every change of the home, and work
 * of an earlier epoch is void. Immutable and safe for use by several threads.
 *
 * @param value the number, from 1; 0 stands for a program without a home
 */
public record Epoch(long value) implements Comparable<Epoch> {

	/**
	 * The epoch of a program that has no home yet.
	 */
	public static final Epoch NONE = new Epoch(0);

	/**
	 * Returns the epoch after this one.
	 * @return the next epoch
	 */
	public Epoch next() {
		return new Epoch(this.value + 1);
	}

	@Override
	public int compareTo(Epoch other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
