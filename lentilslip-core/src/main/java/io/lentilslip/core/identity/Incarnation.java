package io.lentilslip.core.identity;

/**
 * Immutable identifier of one run of a process. It is generated randomly at every start,
 * so that a restarted process is never mistaken for an earlier one at the same address.
 * Thread-safe.
 *
 * @param value a random number, not zero
 */
public record Incarnation(long value) {

	/**
	 * Creates an incarnation.
	 * @param value a random number, not zero
	 * @throws IllegalArgumentException if the value is zero, the value of an unset field
	 */
	public Incarnation {
		if (value == 0) {
			throw new IllegalArgumentException("incarnation must not be zero");
		}
	}

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
