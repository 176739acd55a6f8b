package io.lentilslip.relay.net;

/**
 * Bytes of requests and responses that a process holds in memory for callers that send or
 * read slowly, with a limit. At the limit new requests are refused, and large responses
 * are not read further; a small response of an accepted request is always held. Used by
 * the event loop's thread.
 */
public final class HeldBytes {

	private final long limit;

	private long held;

	/**
	 * Creates a counter of held bytes.
	 * @param limit the number of bytes from which on nothing more is accepted
	 */
	public HeldBytes(long limit) {
		this.limit = limit;
	}

	/**
	 * Holds bytes of a request if the limit allows it.
	 * @param bytes the number of bytes
	 * @return whether they are held
	 */
	public boolean tryHold(long bytes) {
		if (this.held + bytes > this.limit) {
			return false;
		}
		this.held += bytes;
		return true;
	}

	/**
	 * Holds bytes of a response.
	 * @param bytes the number of bytes
	 */
	public void hold(long bytes) {
		this.held += bytes;
	}

	/**
	 * Releases bytes that were held.
	 * @param bytes the number of bytes
	 */
	public void release(long bytes) {
		this.held -= bytes;
	}

	/**
	 * Returns the number of held bytes.
	 * @return the number
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Returns the limit.
	 * @return the number of bytes
	 */
	public long limit() {
		return this.limit;
	}

}
