package io.lentilslip.wire.link;

import java.net.SocketAddress;

import io.lentilslip.core.link.LinkMessage;

/**
 * An open link to a peer that has proved the shared secret. Messages that one thread
 * sends arrive in its order. Safe for use by several threads.
 */
public interface Link extends AutoCloseable {

	/**
	 * Returns what the peer said first.
	 * @return the peer's first message
	 */
	LinkMessage.Hello peer();

	/**
	 * Returns the address that the peer speaks from.
	 * @return the address
	 */
	SocketAddress address();

	/**
	 * Returns the bytes that wait to be written.
	 * @return the number of bytes
	 */
	long pendingBytes();

	/**
	 * Sends a message.
	 * @param message the message
	 * @return what became of the message
	 * @throws IllegalArgumentException if only the other side may send this message, or
	 * if it is one that a link sends by itself
	 */
	SendResult send(LinkMessage message);

	/**
	 * Closes this link once the messages accepted before are written, or after the time
	 * of a handshake at the latest. Messages that arrive from now on are dropped. Returns
	 * at once; the listener learns the end.
	 */
	@Override
	void close();

}
