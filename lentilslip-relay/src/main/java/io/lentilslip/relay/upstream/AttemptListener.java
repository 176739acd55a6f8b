package io.lentilslip.relay.upstream;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;

/**
 * Receives the outcome of one attempt. {@link #onResponse}, {@link #onStreamEnd} and
 * {@link #onFailure} are terminal: no call follows them. Used by the event loop's thread.
 */
public interface AttemptListener {

	/**
	 * Called when the request is written to a connection.
	 */
	void onWritten();

	/**
	 * Called with a complete response.
	 * @param head the response head
	 * @param body the response body
	 */
	void onResponse(ResponseHead head, byte[] body);

	/**
	 * Called with the head of a streaming response.
	 * @param head the response head
	 */
	void onStreamStart(ResponseHead head);

	/**
	 * Called for each complete event of a stream.
	 * @param number the event's number
	 * @param raw the event as received
	 * @param data the event's data
	 */
	void onEvent(long number, byte[] raw, byte[] data);

	/**
	 * Called when a stream has ended normally.
	 */
	void onStreamEnd();

	/**
	 * Called when the attempt has failed.
	 * @param cause the cause of the failure
	 */
	void onFailure(FailureCause cause);

}
