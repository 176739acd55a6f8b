package io.lentilslip.wire.link;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;

/**
 * The channels of one server or client, so that they can be counted and closed together.
 * A channel leaves by itself once it has closed. Safe for use by several threads.
 */
final class LinkChannels {

	private final ChannelGroup channels = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

	private final int maximum;

	private volatile boolean closed;

	/**
	 * Creates an empty set of channels.
	 * @param maximum the most channels. Whoever opens connections without end would
	 * otherwise take all file descriptors of the process, and with them its calls to
	 * others
	 */
	LinkChannels(int maximum) {
		this.maximum = maximum;
	}

	/**
	 * Adds a channel, or closes it if all are being closed. The look at the flag comes
	 * after the addition: a channel that begins at that moment is then closed by one side
	 * or the other.
	 * @param channel the channel, with its handlers installed
	 * @return {@code false} if there are as many channels as there may be
	 */
	boolean add(Channel channel) {
		if (!addBelowMaximum(channel)) {
			return false;
		}
		if (this.closed) {
			LinkPipeline.close(channel);
		}
		return true;
	}

	/**
	 * Returns the number of channels.
	 * @return the number of channels
	 */
	int size() {
		return this.channels.size();
	}

	/**
	 * Closes all channels and those that are added later. Waits until they have closed,
	 * except on one of their event loops, where waiting would stop what is waited for.
	 * @param limit the longest time to wait
	 */
	void close(Duration limit) {
		this.closed = true;
		this.channels.forEach(LinkPipeline::close);
		boolean onEventLoop = this.channels.stream().anyMatch((channel) -> channel.eventLoop().inEventLoop());
		if (!onEventLoop) {
			this.channels.newCloseFuture().awaitUninterruptibly(limit.toNanos(), TimeUnit.NANOSECONDS);
		}
	}

	// Event loops add channels at the same time; each alone could see room for one more.
	private synchronized boolean addBelowMaximum(Channel channel) {
		return this.channels.size() < this.maximum && this.channels.add(channel);
	}

}
