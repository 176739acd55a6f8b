package io.lentilslip.core.call;

/**
 * Whether the turn of an answer is in the log. Safe for use by several threads.
 */
public enum Durability {

	/**
	 * The log holds the turn: it outlives every process.
	 */
	COMMITTED,

	/**
	 * The log could not be reached in time: the turn is held in memory until it can.
	 */
	PENDING,

	/**
	 * The call belongs to no program and leaves nothing to keep.
	 */
	NOT_KEPT

}
