package io.lentilslip.relay.upstream;

import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.RelayEvent.FailureCause;

/**
 * Takes what becomes of one attempt. After {@link #answered}, {@link #ended} or
 * {@link #failed} nothing more comes. Used by the event loop's thread.
 */
public interface AttemptListener {

	/**
	 * The whole answer.
	 * @param head its head
	 * @param body its body
	 */
	void answered(ResponseHead head, byte[] body);

	/**
	 * The head of a stream.
	 * @param head the head
	 */
	void opened(ResponseHead head);

	/**
	 * A whole event of a stream.
	 * @param number its number
	 * @param raw its bytes as they came
	 * @param data its data
	 */
	void event(long number, byte[] raw, byte[] data);

	/**
	 * The end of a stream.
	 */
	void ended();

	/**
	 * The attempt failed.
	 * @param cause why
	 */
	void failed(FailureCause cause);

}
