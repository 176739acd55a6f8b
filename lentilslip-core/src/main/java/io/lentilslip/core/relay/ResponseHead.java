package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Header;

/**
 * Immutable view of the decoded head of an upstream's response. Safe for use by several
 * threads.
 *
 * @param status the HTTP status
 * @param headers the headers to pass on to the caller
 * @param notRun whether the upstream states that it has not run the request and will not
 * @param signed whether the upstream signed the response
 * @param load the request counts of the upstream, if it reports them
 */
public record ResponseHead(int status, List<Header> headers, boolean notRun, boolean signed, Optional<Load> load) {

	static final int SUCCESS = 200;

	private static final int REDIRECTION = 300;

	private static final int MISDIRECTED = 421;

	private static final int SERVER_ERROR = 500;

	/**
	 * Creates a head.
	 * @param status the HTTP status
	 * @param headers the headers to pass on to the caller
	 * @param notRun whether the upstream states that it has not run the request and will
	 * not
	 * @param signed whether the upstream signed the response
	 * @param load the request counts of the upstream, if it reports them
	 */
	public ResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether the status is 2xx.
	 * @return {@code true} if the status is 2xx
	 */
	public boolean successful() {
		return this.status >= SUCCESS && this.status < REDIRECTION;
	}

	/**
	 * Returns whether the status is 5xx.
	 * @return {@code true} if the status is 5xx
	 */
	boolean serverError() {
		return this.status >= SERVER_ERROR;
	}

	/**
	 * Returns whether the request named another upstream than the one that responded.
	 * @return {@code true} if the status is 421
	 */
	boolean misdirected() {
		return this.status == MISDIRECTED;
	}

	/**
	 * Immutable view of the request counts of an upstream.
	 *
	 * @param running the requests in execution
	 * @param waiting the requests in its queue
	 * @param slowdownPercent how long work takes there at this moment, in percent of the
	 * usual time
	 */
	public record Load(int running, int waiting, int slowdownPercent) {

		/**
		 * The slowdown of an upstream that works as usual, or reports none.
		 */
		public static final int USUAL_PERCENT = 100;

		/**
		 * Returns the total number of requests.
		 * @return the running and the queued requests
		 */
		int requests() {
			return this.running + this.waiting;
		}

	}

}
