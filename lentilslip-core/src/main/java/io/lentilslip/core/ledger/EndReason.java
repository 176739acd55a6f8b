package io.lentilslip.core.ledger;

/**
 * Why a program ended. Safe for use by several threads.
 */
public enum EndReason {

	/**
	 * The caller ended it.
	 */
	BY_CALLER,

	/**
	 * Its parent program ended.
	 */
	WITH_PARENT,

	/**
	 * It received no call for longer than the idle time.
	 */
	IDLE,

	/**
	 * It reached its lifetime.
	 */
	LIFETIME,

	/**
	 * Its group is no longer configured.
	 */
	GROUP_REMOVED

}
