package io.lentilslip.core.role;

/**
 * How an append to the log ended. Safe for use by several threads.
 */
public enum AppendResult {

	/**
	 * The log holds the record.
	 */
	APPENDED,

	/**
	 * The log surely does not hold the record and will not.
	 */
	NOT_APPENDED,

	/**
	 * The log may hold the record, or may yet: its answer was lost.
	 */
	UNKNOWN

}
