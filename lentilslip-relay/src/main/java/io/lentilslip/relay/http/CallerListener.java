package io.lentilslip.relay.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Receives the requests of callers. Used by the event loop's thread.
 */
public interface CallerListener {

	/**
	 * Called when a request was received completely.
	 * @param connection the connection to respond on
	 * @param request the request
	 * @param body the request body
	 * @param headReadAt the time at which the head of the request was read, in
	 * milliseconds of the monotonic clock
	 * @return the id of the exchange
	 */
	long onRequest(CallerConnection connection, HttpRequest request, byte[] body, long headReadAt);

	/**
	 * Called when the bytes that wait to be read by a caller exceed what is buffered for
	 * one connection, and when there is room again.
	 * @param exchange the id of the exchange
	 * @param writable whether there is room
	 */
	void onWritabilityChanged(long exchange, boolean writable);

	/**
	 * Called when a caller disconnected before its response was complete.
	 * @param exchange the id of the exchange
	 */
	void onDisconnect(long exchange);

}
