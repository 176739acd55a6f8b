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
	 * Its parent ended.
	 */
	WITH_PARENT,

	/**
	 * It was silent for longer than the limit.
	 */
	IDLE,

	/**
	 * It lived longer than the limit.
	 */
	LIFETIME,

	/**
	 * Its group is no longer configured.
	 */
	GROUP_REMOVED

}
