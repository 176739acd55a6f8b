package io.lentilslip.core.role;

/**
 * Result of an append to the log. Thread-safe.
 */
public enum AppendResult {

	/**
	 * The record is stored in the log.
	 */
	APPENDED,

	/**
	 * The record is not stored in the log and will not be.
	 */
	NOT_APPENDED,

	/**
	 * The response of the log was lost: the record may be stored, or may be stored later.
	 */
	UNKNOWN

}
