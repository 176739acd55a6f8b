package io.lentilslip.core.relay;

/**
 * The execution guarantee of a route's requests, which decides on retries. Safe for use
 * by several threads.
 */
public enum Repeatability {

	/**
	 * A request may run several times.
	 */
	IDEMPOTENT,

	/**
	 * A request runs at most once.
	 */
	AT_MOST_ONCE,

	/**
	 * The response is a stream of numbered events. A request runs at most once, unless
	 * the route is resumable.
	 */
	STREAM

}
