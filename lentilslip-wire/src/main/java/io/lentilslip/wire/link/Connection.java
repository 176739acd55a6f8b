package io.lentilslip.wire.link;

import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.lentilslip.core.link.LinkMessage;
import io.netty.channel.Channel;
import io.netty.handler.codec.TooLongFrameException;

/**
 * What the handlers of one connection share. The first reason given for its end is the
 * one reported: closing a connection causes further events that would hide it. Safe for
 * use by several threads.
 */
final class Connection {

	private final LinkSide side;

	private final LinkSettings settings;

	private final Supplier<LinkMessage.Hello> greeting;

	private final LinkListener listener;

	private final LinkCounters counters;

	private final AtomicReference<LinkClosure> reason = new AtomicReference<>();

	/**
	 * Creates what the handlers of one connection share.
	 * @param side the side that this process is
	 * @param settings the limits and times
	 * @param greeting gives the message that this process sends first
	 * @param listener the listener
	 * @param counters the counters
	 */
	Connection(LinkSide side, LinkSettings settings, Supplier<LinkMessage.Hello> greeting, LinkListener listener,
			LinkCounters counters) {
		this.side = side;
		this.settings = settings;
		this.greeting = greeting;
		this.listener = listener;
		this.counters = counters;
	}

	LinkSide side() {
		return this.side;
	}

	LinkSettings settings() {
		return this.settings;
	}

	LinkMessage.Hello greeting() {
		return this.greeting.get();
	}

	LinkListener listener() {
		return this.listener;
	}

	LinkCounters counters() {
		return this.counters;
	}

	/**
	 * Sets why the connection ends, unless a reason is set.
	 * @param closure the reason
	 */
	void ending(LinkClosure closure) {
		this.reason.compareAndSet(null, closure);
	}

	/**
	 * Returns whether the connection has ended or is about to. Frames that arrived
	 * together with the one that ended it are still handed on by the decoder, and must
	 * not be taken for messages.
	 * @return {@code true} if nothing is to be read or written any more
	 */
	boolean isEnding() {
		return this.reason.get() != null;
	}

	/**
	 * Ends the connection at once.
	 * @param channel the channel
	 * @param closure the reason
	 */
	void end(Channel channel, LinkClosure closure) {
		ending(closure);
		channel.close();
	}

	/**
	 * Ends the connection after an exception.
	 * @param channel the channel
	 * @param cause the exception
	 */
	void end(Channel channel, Throwable cause) {
		end(channel, (cause instanceof TooLongFrameException) ? LinkClosure.OVERSIZED_FRAME : LinkClosure.FAILED);
	}

	/**
	 * Returns why the connection ended.
	 * @return the first reason given here, or that the peer closed it
	 */
	LinkClosure closure() {
		return Optional.ofNullable(this.reason.get()).orElse(LinkClosure.CLOSED_BY_PEER);
	}

	/**
	 * Counts and reports the end of a connection that never opened.
	 * @param address the address of the peer
	 */
	void refused(SocketAddress address) {
		this.counters.countRefused(closure());
		this.listener.refused(address, closure());
	}

	/**
	 * Counts and reports the end of a link.
	 * @param link the link
	 */
	void closed(Link link) {
		this.counters.countClosed(closure());
		this.listener.closed(link, closure());
	}

}
