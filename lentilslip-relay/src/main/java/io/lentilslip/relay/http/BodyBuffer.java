package io.lentilslip.relay.http;

import java.util.Arrays;
import java.util.OptionalInt;

import io.netty.buffer.ByteBuf;

/**
 * Body of a request as it is received. Its memory grows with what has been received, not
 * with the announced length, and ends at that length, so that a whole body is not copied
 * once more. Used by the event loop's thread.
 */
final class BodyBuffer {

	private static final byte[] EMPTY = new byte[0];

	private final OptionalInt announced;

	private byte[] bytes = EMPTY;

	private int size;

	/**
	 * Creates an empty buffer.
	 * @param announced the length of the body, if it is known
	 */
	BodyBuffer(OptionalInt announced) {
		this.announced = announced;
	}

	/**
	 * Appends received bytes.
	 * @param received the bytes
	 */
	void append(ByteBuf received) {
		int count = received.readableBytes();
		if (this.size + count > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, capacityFor(this.size + count));
		}
		received.getBytes(received.readerIndex(), this.bytes, this.size, count);
		this.size += count;
	}

	private int capacityFor(int needed) {
		int doubled = Math.max(needed, 2 * this.bytes.length);
		return Math.max(needed, Math.min(doubled, this.announced.orElse(doubled)));
	}

	/**
	 * Returns the number of received bytes.
	 * @return the number
	 */
	int size() {
		return this.size;
	}

	/**
	 * Returns the memory that the buffer takes.
	 * @return the number of bytes
	 */
	int capacity() {
		return this.bytes.length;
	}

	/**
	 * Returns the received bytes. The buffer must not be used afterwards.
	 * @return the bytes
	 */
	byte[] toBytes() {
		return (this.size == this.bytes.length) ? this.bytes : Arrays.copyOf(this.bytes, this.size);
	}

}
