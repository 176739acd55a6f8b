package io.lentilslip.core.call;

/**
 * Durability of the turn of a response. Thread-safe.
 */
public enum Durability {

	/**
	 * The turn is committed to the log.
	 */
	COMMITTED,

	/**
	 * The log was not reachable in time. The turn is held in memory until it can be
	 * committed.
	 */
	PENDING,

	/**
	 * The call belongs to no program, so its turn is not stored.
	 */
	NOT_KEPT

}
