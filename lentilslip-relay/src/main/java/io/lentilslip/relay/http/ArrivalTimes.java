package io.lentilslip.relay.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * When the bytes of a connection arrived that wait to be decoded. Bounded in number: if
 * many small parts wait, the last ones count as arrived together. Used by the event
 * loop's thread.
 */
final class ArrivalTimes {

	private static final int MAX_PARTS = 32;

	private final Deque<Part> parts = new ArrayDeque<>();

	private long received;

	/**
	 * Records that bytes were received.
	 * @param bytes the number of bytes
	 * @param arrivedAt when they arrived
	 */
	void record(int bytes, long arrivedAt) {
		this.received += bytes;
		boolean extend = !this.parts.isEmpty()
				&& (this.parts.getLast().arrivedAt() == arrivedAt || this.parts.size() >= MAX_PARTS);
		long time = extend ? this.parts.pollLast().arrivedAt() : arrivedAt;
		this.parts.addLast(new Part(this.received, time));
	}

	/**
	 * Returns when the last byte arrived that has been decoded.
	 * @param waitingBytes the number of received bytes that have not been decoded
	 * @return the time; empty if nothing was received
	 */
	OptionalLong decoded(int waitingBytes) {
		long position = this.received - waitingBytes;
		while (this.parts.size() > 1 && this.parts.getFirst().end() < position) {
			this.parts.removeFirst();
		}
		return this.parts.stream().mapToLong(Part::arrivedAt).findFirst();
	}

	/**
	 * Bytes that arrived together. Immutable.
	 *
	 * @param end the number of bytes received up to their end
	 * @param arrivedAt when they arrived
	 */
	private record Part(long end, long arrivedAt) {

	}

}
