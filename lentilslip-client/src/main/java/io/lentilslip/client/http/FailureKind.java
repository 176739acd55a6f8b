package io.lentilslip.client.http;

/**
 * The way in which an attempt failed to bring a whole answer. Safe for use by several
 * threads.
 */
public enum FailureKind {

	/**
	 * This process did not begin the attempt: too many calls are under way.
	 */
	NOT_STARTED,

	/**
	 * No connection came about.
	 */
	NOT_CONNECTED,

	/**
	 * Time ran out.
	 */
	TIMED_OUT,

	/**
	 * The other side, or something between, broke the connection off.
	 */
	BROKEN_OFF,

	/**
	 * The answer was longer than allowed.
	 */
	TOO_LONG,

	/**
	 * What came was no valid answer.
	 */
	UNREADABLE,

	/**
	 * This process gave the attempt up.
	 */
	CANCELLED

}
