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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens sockets, all with the same options: what is written goes out at once, and a port
 * can be opened again right after its process ended. Stateless and safe for use by
 * several threads.
 */
public final class Sockets {

	/**
	 * How many connections the system holds that are not accepted yet: a burst of callers
	 * that arrives while the event loop is busy. A dropped one tries again a second
	 * later.
	 */
	private static final int BACKLOG = 1024;

	private Sockets() {
	}

	/**
	 * Connects to an address.
	 * @param loop the event loop of the connection
	 * @param address the address
	 * @param timeout how long the connecting may take
	 * @param configurer puts handlers into the connection's pipeline
	 * @return the connecting
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
	 * Opens a port.
	 * @param loops the event loops of its connections
	 * @param address the address
	 * @param configurer puts handlers into each connection's pipeline
	 * @return the opening
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

	private static ChannelInitializer<Channel> initializer(Consumer<Channel> configurer) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(Channel channel) {
				configurer.accept(channel);
			}

		};
	}

}
