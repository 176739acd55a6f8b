package io.lentilslip.wire.link;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.link.LinkMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A client that opens links. It takes messages that sidecars send and refuses all others.
 * It does not connect again by itself: when to do so is a decision of its user. Close it
 * before the event loops that it was given. Safe for use by several threads.
 */
public final class LinkClient implements AutoCloseable {

	private final EventLoopGroup eventLoops;

	private final LinkSettings settings;

	private final Supplier<LinkMessage.Hello> greeting;

	private final LinkCounters counters = new LinkCounters();

	private final LinkChannels channels = new LinkChannels(Integer.MAX_VALUE);

	/**
	 * Creates a client without links.
	 * @param eventLoops the event loops, which stay the caller's
	 * @param settings the limits and times
	 * @param greeting gives the message that this process sends first on each link
	 */
	public LinkClient(EventLoopGroup eventLoops, LinkSettings settings, Supplier<LinkMessage.Hello> greeting) {
		this.eventLoops = eventLoops;
		this.settings = settings;
		this.greeting = greeting;
	}

	/**
	 * Begins to open a link. Returns at once: the listener learns whether it opened or
	 * was refused.
	 * @param endpoint the address and port of the peer
	 * @param listener the listener of this one link
	 */
	public void connect(Endpoint endpoint, LinkListener listener) {
		InetSocketAddress address = new InetSocketAddress(endpoint.ip(), endpoint.port());
		Connection connection = new Connection(LinkSide.CLIENT, this.settings, this.greeting, listener, this.counters);
		ChannelFuture connected = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.settings.handshakeTimeout().toMillis())
			.handler(new Initializer(connection))
			.connect(address);
		connected.addListener((done) -> {
			if (!done.isSuccess()) {
				connection.ending(LinkClosure.UNREACHABLE);
				connection.refused(address);
			}
		});
	}

	/**
	 * Returns the number of connections, those in their handshake included.
	 * @return the number of connections
	 */
	public int size() {
		return this.channels.size();
	}

	/**
	 * Returns the counts of what happened.
	 * @return the counts
	 */
	public LinkCounters counters() {
		return this.counters;
	}

	/**
	 * Closes each link as {@link Link#close()} does and waits for them at most the time
	 * of a handshake. On an event loop it does not wait. Connections that are begun later
	 * are refused.
	 */
	@Override
	public void close() {
		this.channels.close(this.settings.handshakeTimeout());
	}

	/**
	 * An initializer of one connection. Confined to the event loop of its channel.
	 */
	private final class Initializer extends ChannelInitializer<Channel> {

		private final Connection connection;

		private Initializer(Connection connection) {
			this.connection = connection;
		}

		@Override
		protected void initChannel(Channel channel) {
			LinkPipeline.install(channel, this.connection);
			LinkClient.this.channels.add(channel);
		}

	}

}
