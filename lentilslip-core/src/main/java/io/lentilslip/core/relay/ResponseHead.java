package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Header;

/**
 * The head of an upstream's answer, decoded. Immutable and safe for use by several
 * threads.
 *
 * @param status the status
 * @param headers the headers that the caller is given
 * @param notRun whether the upstream says that it did not and will not run the request
 * @param signed whether the upstream signed the answer
 * @param load the upstream's own count of its requests, if it tells it
 */
public record ResponseHead(int status, List<Header> headers, boolean notRun, boolean signed, Optional<Load> load) {

	static final int SUCCESS = 200;

	private static final int REDIRECTION = 300;

	private static final int MISDIRECTED = 421;

	/**
	 * Creates a head.
	 * @param status the status
	 * @param headers the headers that the caller is given
	 * @param notRun whether the upstream says that it did not and will not run the
	 * request
	 * @param signed whether the upstream signed the answer
	 * @param load the upstream's own count of its requests, if it tells it
	 */
	public ResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether the status is that of a success.
	 * @return whether it is
	 */
	public boolean successful() {
		return this.status >= SUCCESS && this.status < REDIRECTION;
	}

	/**
	 * Returns whether the request named another upstream than the one that answered.
	 * @return whether it did
	 */
	boolean misdirected() {
		return this.status == MISDIRECTED;
	}

	/**
	 * An upstream's own count of its requests. Immutable.
	 *
	 * @param running the requests that run
	 * @param waiting the requests that wait
	 */
	public record Load(int running, int waiting) {

		/**
		 * Returns how many requests the upstream has.
		 * @return those that run and those that wait
		 */
		int requests() {
			return this.running + this.waiting;
		}

	}

}
