package io.lentilslip.core.identity;

/**
 * One life of a process on a VM. A process draws a new random value at every start, so
 * that a process that came back at the same address is never taken for the one before it.
 * Immutable and safe for use by several threads.
 *
 * @param value a random number other than zero
 */
public record Incarnation(long value) {

	/**
	 * Creates an incarnation.
	 * @param value a random number other than zero
	 * @throws IllegalArgumentException if the value is zero, which an unset field has
	 */
	public Incarnation {
		if (value == 0) {
			throw new IllegalArgumentException("an incarnation is not zero");
		}
	}

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
