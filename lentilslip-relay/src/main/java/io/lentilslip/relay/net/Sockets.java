package io.lentilslip.relay.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens client and server sockets with common options: {@code TCP_NODELAY} on all
 * connections, {@code SO_REUSEADDR} on server sockets. Stateless and safe for use by
 * several threads.
 */
public final class Sockets {

	/**
	 * The length of the accept queue. Absorbs bursts of connections while the event loop
	 * is busy: a client retries a dropped SYN only after a second.
	 */
	private static final int BACKLOG = 1024;

	private Sockets() {
	}

	/**
	 * Connects to an address.
	 * @param loop the event loop of the connection
	 * @param address the address
	 * @param timeout the connect timeout
	 * @param configurer adds handlers to the connection's pipeline
	 * @return the future of the connection
	 */
	public static ChannelFuture connect(EventLoop loop, InetSocketAddress address, Duration timeout,
			Consumer<Channel> configurer) {
		return new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(initializer(configurer))
			.connect(address);
	}

	/**
	 * Binds a server socket.
	 * @param loops the event loops of the accepted connections
	 * @param address the address
	 * @param configurer adds handlers to the pipeline of each accepted connection
	 * @return the future of the server socket
	 */
	public static ChannelFuture bind(EventLoopGroup loops, InetSocketAddress address, Consumer<Channel> configurer) {
		return new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(configurer))
			.bind(address);
	}

	/**
	 * Makes the orderly end of a peer's output distinguishable from a reset. After it the
	 * channel stays active, and its handlers receive a {@link ChannelInputShutdownEvent}
	 * and have to close it. A channel that is reset, or whose write fails, becomes
	 * inactive without that event.
	 * @param channel the channel
	 */
	public static void reportOrderlyEnd(Channel channel) {
		channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	private static ChannelInitializer<Channel> initializer(Consumer<Channel> configurer) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				configurer.accept(channel);
			}

		};
	}

}
