package io.lentilslip.wire.link;

import java.net.SocketAddress;

import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;

/**
 * A listener that learns what happens on links. The calls for one link come one after the
 * other on the link's event loop: first {@link #opened}, then messages, last
 * {@link #closed}. A connection that never opened is reported by {@link #refused} alone.
 * Implementations must not block, since other links share the event loop, and must be
 * safe for use by several threads where they serve several links. An exception that a
 * listener throws ends the link.
 */
public interface LinkListener {

	/**
	 * Called when a link has opened.
	 * @param link the link
	 * @param peer what the peer said first
	 */
	void opened(Link link, LinkMessage.Hello peer);

	/**
	 * Called for each message other than a heartbeat.
	 * @param link the link
	 * @param message the message
	 */
	void received(Link link, LinkMessage message);

	/**
	 * Called for a message of a kind that a later version of the program sends. The link
	 * goes on.
	 * @param link the link
	 * @param problem what is not known
	 */
	void unread(Link link, CodecProblem.UnknownKind problem);

	/**
	 * Called when an open link has ended.
	 * @param link the link
	 * @param reason why it ended
	 */
	void closed(Link link, LinkClosure reason);

	/**
	 * Called when a connection ended before it became a link.
	 * @param address the address of the peer
	 * @param reason why it ended
	 */
	void refused(SocketAddress address, LinkClosure reason);

}
