package io.lentilslip.core.relay;

/**
 * What a route allows to be repeated. Safe for use by several threads.
 */
public enum Repeatability {

	/**
	 * Requests may run more than once.
	 */
	IDEMPOTENT,

	/**
	 * A request runs at most once.
	 */
	AT_MOST_ONCE,

	/**
	 * The answer is a stream of numbered events; a request runs at most once, unless its
	 * route may be resumed.
	 */
	STREAM

}
