package io.lentilslip.relay.upstream;

import io.lentilslip.relay.http.InvalidPart;

/**
 * Receives what upstreams send that is not passed on, for operators. Called by the event
 * loop's thread.
 */
@FunctionalInterface
public interface ResponseProblemListener {

	/**
	 * Called when an upstream has sent data that belongs to no request in flight.
	 * @param response the data
	 */
	void onUnmatched(UnmatchedResponse response);

	/**
	 * Called when an upstream has sent a response that is not valid.
	 * @param upstream the id of the upstream
	 * @param request the id of the request in flight
	 * @param part the first part that is not valid
	 */
	default void onInvalid(String upstream, String request, InvalidPart part) {
	}

}
