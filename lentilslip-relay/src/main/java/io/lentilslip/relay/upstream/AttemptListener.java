package io.lentilslip.relay.upstream;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;

/**
 * Takes what becomes of one attempt. After {@link #onResponse}, {@link #onStreamEnd} or
 * {@link #onFailure} nothing more comes. Used by the event loop's thread.
 */
public interface AttemptListener {

	/**
	 * The whole answer.
	 * @param head its head
	 * @param body its body
	 */
	void onResponse(ResponseHead head, byte[] body);

	/**
	 * The head of a stream.
	 * @param head the head
	 */
	void onStreamStart(ResponseHead head);

	/**
	 * A whole event of a stream.
	 * @param number its number
	 * @param raw its bytes as they came
	 * @param data its data
	 */
	void onEvent(long number, byte[] raw, byte[] data);

	/**
	 * The end of a stream.
	 */
	void onStreamEnd();

	/**
	 * The attempt failed.
	 * @param cause why
	 */
	void onFailure(FailureCause cause);

}
