package io.lentilslip.standin.engine;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The engine's port on 127.0.0.1. It stands on Netty itself, for an engine must see the
 * end of a caller's connection before it writes to it, and must be able to drop all
 * connections without an answer. Used by one thread at a time.
 */
final class EngineServer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EngineServer.class);

	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	private static final int MAXIMUM_UNREAD_BYTES = 8 * 1024 * 1024;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(2);

	private ChannelGroup connections = noConnections();

	private Channel listening;

	/**
	 * Listens on a port.
	 * @param port the port, 0 for a free one
	 * @param routes what handles requests
	 * @return the port
	 */
	int listen(int port, EngineRoutes routes) {
		ChannelGroup accepted = noConnections();
		this.connections = accepted;
		this.listening = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(MAXIMUM_UNREAD_BYTES / 2, MAXIMUM_UNREAD_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					accepted.add(channel);
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
								new EngineConnection(routes));
				}

			})
			.bind(new InetSocketAddress("127.0.0.1", port))
			.syncUninterruptibly()
			.channel();
		return ((InetSocketAddress) this.listening.localAddress()).getPort();
	}

	private static ChannelGroup noConnections() {
		return new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
	}

	/**
	 * Stops listening and resets all connections, without an answer to anyone.
	 */
	void drop() {
		this.listening.close().syncUninterruptibly();
		this.connections.forEach(EngineServer::resetOnClose);
		this.connections.close().awaitUninterruptibly();
	}

	private static void resetOnClose(Channel connection) {
		try {
			connection.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		catch (ChannelException ex) {
			logger.debug("the caller closed connection {} first", connection, ex);
		}
	}

	@Override
	public void close() {
		drop();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

}
