package io.lentilslip.verification.capacity;

/**
 * One measured value. Immutable and safe for use by several threads.
 *
 * @param quantity what was measured, and after {@code -by-} what its size counts
 * @param size the size at which it was measured
 * @param value the value
 * @param unit the unit of the value
 * @param repetition the number of the repetition, from 1
 */
public record Sample(String quantity, int size, double value, Unit unit, int repetition) {

	/**
	 * A unit of measured values. Safe for use by several threads.
	 */
	public enum Unit {

		/**
		 * Bytes of heap, of allocation or of a message.
		 */
		BYTES,

		/**
		 * Nanoseconds of processor time of one thread.
		 */
		NANOSECONDS

	}

}
