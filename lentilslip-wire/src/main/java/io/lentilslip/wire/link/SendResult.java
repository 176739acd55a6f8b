package io.lentilslip.wire.link;

/**
 * What became of a message that was to be sent. Safe for use by several threads.
 */
public enum SendResult {

	/**
	 * The message waits to be written. It arrives after those accepted before it, or the
	 * link ends; whether it arrived, only an answer of the peer can tell.
	 */
	ACCEPTED,

	/**
	 * The link has ended or is being closed. The message was not sent.
	 */
	CLOSED,

	/**
	 * Too many bytes wait to be written. The message was not sent, and the link ends.
	 */
	OVERLOADED,

	/**
	 * The message is larger than a frame may be. It was not sent, and the link goes on.
	 */
	TOO_LARGE

}
