package io.lentilslip.core.ledger;

/**
 * Immutable number of a program's home. It increases by one with each claim of the home,
 * and records of an earlier epoch have no effect. Safe for use by several threads.
 *
 * @param value the number, starting at 1; 0 for a program without a home
 */
public record Epoch(long value) implements Comparable<Epoch> {

	/**
	 * The epoch of a program that has no home yet.
	 */
	public static final Epoch NONE = new Epoch(0);

	/**
	 * Returns the epoch that follows this one.
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
