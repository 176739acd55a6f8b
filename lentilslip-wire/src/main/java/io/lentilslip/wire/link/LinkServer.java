package io.lentilslip.wire.link;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.link.LinkMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Try;

/**
 * A server that accepts links. It takes messages that entries send and refuses all
 * others. Close it before the event loops that it was given. Safe for use by several
 * threads.
 */
public final class LinkServer implements AutoCloseable {

	private final LinkSettings settings;

	private final Supplier<LinkMessage.Hello> greeting;

	private final LinkListener listener;

	private final LinkCounters counters = new LinkCounters();

	private final LinkChannels channels;

	private volatile Channel socket;

	private LinkServer(LinkSettings settings, Supplier<LinkMessage.Hello> greeting, LinkListener listener) {
		this.settings = settings;
		this.greeting = greeting;
		this.listener = listener;
		this.channels = new LinkChannels(settings.maximumLinks());
	}

	/**
	 * Starts a server. Waits until it listens, so it must not be called on an event loop.
	 * @param eventLoops the event loops, which stay the caller's
	 * @param endpoint the address and port to listen on, where port 0 takes a free one
	 * @param settings the limits and times
	 * @param greeting gives the message that this process sends first on each link
	 * @param listener the listener of all links
	 * @return the server, or why it cannot listen
	 */
	public static Try<LinkServer> listen(EventLoopGroup eventLoops, Endpoint endpoint, LinkSettings settings,
			Supplier<LinkMessage.Hello> greeting, LinkListener listener) {
		LinkServer server = new LinkServer(settings, greeting, listener);
		ServerBootstrap bootstrap = new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(server.new Initializer());
		ChannelFuture bound = bootstrap.bind(endpoint.ip(), endpoint.port()).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			return Try.failure(bound.cause());
		}
		server.socket = bound.channel();
		return Try.success(server);
	}

	/**
	 * Returns the port that this server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.socket.localAddress()).getPort();
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
	 * Stops listening, then closes each link as {@link Link#close()} does and waits for
	 * them at most the time of a handshake. On an event loop it does not wait.
	 */
	@Override
	public void close() {
		this.socket.close();
		this.channels.close(this.settings.handshakeTimeout());
	}

	/**
	 * An initializer of accepted connections. Safe for use by several threads.
	 */
	private final class Initializer extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel channel) {
			Connection connection = new Connection(LinkSide.SERVER, LinkServer.this.settings, LinkServer.this.greeting,
					LinkServer.this.listener, LinkServer.this.counters);
			LinkPipeline.install(channel, connection);
			if (!LinkServer.this.channels.add(channel)) {
				connection.end(channel, LinkClosure.TOO_MANY_LINKS);
			}
		}

	}

}
