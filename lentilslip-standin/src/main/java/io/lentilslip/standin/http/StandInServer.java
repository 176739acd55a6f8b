package io.lentilslip.standin.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.internal.netty.NettyHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.codec.http.multipart.HttpDataFactory;

/**
 * A server on 127.0.0.1 that runs a Jooby application. Its routes run on the event loop,
 * so they must not block; they answer at once, or later through
 * {@link #after(Duration, Runnable)}. Once {@link #close()} returned, the port is free
 * and no route runs any more. Safe for use by several threads.
 * <p>
 * Jooby's own server looks for a free port and binds it later, so that another process
 * may take it in between; it gives no access to a connection, writes longer bodies to a
 * disk and returns from its stop before the port is free. This class binds the
 * application's handler itself, which needs none of that.
 */
public final class StandInServer implements AutoCloseable {

	/**
	 * The port that lets the operating system choose a free one.
	 */
	public static final int ANY_PORT = 0;

	/**
	 * The longest body of a request. Jooby answers a longer one with 413.
	 */
	public static final int MAXIMUM_REQUEST_BYTES = 16 * 1024 * 1024;

	private static final String HOST = "127.0.0.1";

	private static final int THREADS = 2;

	private static final int BUFFER_BYTES = 16 * 1024;

	private final Map<String, Channel> connections = new ConcurrentHashMap<>();

	private final EventLoopGroup loops = new NioEventLoopGroup(THREADS);

	private final AtomicBoolean closed = new AtomicBoolean();

	private final Binding binding;

	private StandInServer(int port, Routes routes) {
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		routes.install(application, this);
		this.binding = new Binding(port);
		try {
			this.binding.start(application);
		}
		catch (RuntimeException ex) {
			stopLoops();
			throw ex;
		}
	}

	/**
	 * Starts a server.
	 * @param port the port, or {@link #ANY_PORT}
	 * @param routes what the server answers
	 * @return the server, which listens already
	 */
	public static StandInServer start(int port, Routes routes) {
		return new StandInServer(port, routes);
	}

	/**
	 * Returns the address that this server listens on.
	 * @return the address with the port in use
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.binding.listener.localAddress();
	}

	/**
	 * Resets the connection that a request came by. Its caller sees the connection fail,
	 * never the end of an answer.
	 * @param context the request
	 */
	public void reset(Context context) {
		Channel connection = this.connections.get(context.header(ConnectionRegistry.HEADER).value());
		if (connection == null) {
			return;
		}
		connection.config().setOption(ChannelOption.SO_LINGER, 0);
		connection.close();
	}

	/**
	 * Sends the beginning of an answer and resets the connection.
	 * @param context the request
	 * @param part what is sent of the body
	 * @param length the length that the answer states, more than that of the part
	 */
	public void cutOff(Context context, byte[] part, long length) {
		context.setResponseLength(length);
		context.responseSender().write(part, (sent, failure) -> reset(sent));
	}

	/**
	 * Runs a task later, on an event loop.
	 * @param delay the time until then
	 * @param task the task, which must not block
	 * @return a handle by which the task is cancelled
	 */
	public Future<?> after(Duration delay, Runnable task) {
		return this.loops.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Stops listening, closes all connections and waits until no route runs any more. A
	 * second call does nothing.
	 */
	@Override
	public void close() {
		if (this.closed.getAndSet(true)) {
			return;
		}
		this.binding.stop();
		stopLoops();
	}

	private void stopLoops() {
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * A function that puts routes into an application. Called once, before the server
	 * listens.
	 */
	@FunctionalInterface
	public interface Routes {

		/**
		 * Puts routes into an application.
		 * @param application the application
		 * @param server the server that will run it, not listening yet
		 */
		void install(Jooby application, StandInServer server);

	}

	/**
	 * A Jooby server that binds the application's handler to a port by Netty. Started and
	 * stopped once, by the thread that owns the stand-in.
	 */
	private final class Binding extends Server.Base {

		private final ServerOptions options = new ServerOptions();

		private final int port;

		private Jooby application;

		private Channel listener;

		Binding(int port) {
			this.port = port;
			this.options.setHost(HOST);
			this.options.setMaxRequestSize(MAXIMUM_REQUEST_BYTES);
			this.options.setBufferSize(BUFFER_BYTES);
		}

		@Override
		public Server setOptions(ServerOptions options) {
			throw new UnsupportedOperationException("the options of a stand-in are fixed");
		}

		@Override
		public ServerOptions getOptions() {
			return this.options;
		}

		@Override
		public String getName() {
			return "netty";
		}

		@Override
		public Server start(Jooby application) {
			this.application = application;
			fireStart(List.of(application), StandInServer.this.loops);
			this.listener = new ServerBootstrap().group(StandInServer.this.loops)
				.channel(NioServerSocketChannel.class)
				.option(ChannelOption.SO_REUSEADDR, true)
				.childOption(ChannelOption.TCP_NODELAY, true)
				.childHandler(new Pipeline(application, this.options))
				.bind(HOST, this.port)
				.syncUninterruptibly()
				.channel();
			fireReady(List.of(application));
			return this;
		}

		@Override
		public Server stop() {
			this.listener.close().syncUninterruptibly();
			StandInServer.this.connections.values().forEach(Channel::close);
			fireStop(List.of(this.application));
			return this;
		}

	}

	/**
	 * A pipeline of one connection, from bytes to the application's routes. Runs on the
	 * event loop of the connection.
	 */
	private final class Pipeline extends ChannelInitializer<SocketChannel> {

		// Streamed answers put their writer after the handler of this name, and fail
		// without an answer if there is none.
		private static final String CODEC = "codec";

		// Kept in memory: the default would write longer bodies to a disk.
		private final HttpDataFactory bodies = new DefaultHttpDataFactory(false);

		private final ConnectionRegistry registry = new ConnectionRegistry();

		private final Jooby application;

		private final ServerOptions options;

		Pipeline(Jooby application, ServerOptions options) {
			this.application = application;
			this.options = options;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(CODEC, new HttpServerCodec())
				.addLast(this.registry)
				.addLast(new NettyHandler(channel.eventLoop(), this.application, this.options.getMaxRequestSize(),
						this.options.getBufferSize(), this.bodies, this.options.getDefaultHeaders(), false));
		}

	}

	/**
	 * A registry of the open connections, which marks each request with the connection it
	 * came by, and sends answers without delay. A route knows only the request, and needs
	 * the connection to reset it.
	 */
	@Sharable
	private final class ConnectionRegistry extends ChannelDuplexHandler {

		private static final String HEADER = "Stand-In-Connection";

		@Override
		public void channelActive(ChannelHandlerContext context) throws Exception {
			StandInServer.this.connections.put(name(context), context.channel());
			super.channelActive(context);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) throws Exception {
			StandInServer.this.connections.remove(name(context));
			super.channelInactive(context);
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (message instanceof HttpRequest request) {
				request.headers().set(HEADER, name(context));
			}
			super.channelRead(context, message);
		}

		/**
		 * Sends each part of an answer at once. Jooby leaves that to the end of the read
		 * that brought the request; an answer given later by the same event loop would
		 * stay in the buffer until the caller sends something else.
		 */
		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			context.writeAndFlush(message, promise);
		}

		private String name(ChannelHandlerContext context) {
			return context.channel().id().asLongText();
		}

	}

}
