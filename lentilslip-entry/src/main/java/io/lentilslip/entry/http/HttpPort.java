package io.lentilslip.entry.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.internal.netty.NettyHandler;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.configuration.Endpoint;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.codec.http.multipart.HttpDataFactory;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ImmediateEventExecutor;

/**
 * A port whose requests a Jooby application answers. Routes run on the event loop of
 * their connection, so they must not block. Safe for use by several threads.
 * <p>
 * Jooby's own server shows neither the end of a connection nor how much of an answer the
 * caller has read, takes no bound for headers and writes longer bodies to a disk. So this
 * class binds the port itself and puts a {@link Connection} before Jooby's handler, which
 * then does routing and answers alone.
 */
public final class HttpPort implements AutoCloseable {

	private static final int LINE_BYTES = 8 << 10;

	private static final int CHUNK_BYTES = 8 << 10;

	private static final int BUFFER_BYTES = 16 << 10;

	private static final int NOT_FOUND = 404;

	private static final int METHOD_NOT_ALLOWED = 405;

	private final Map<String, Connection> connections = new ConcurrentHashMap<>();

	private final ChannelGroup accepted = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

	private final AtomicBoolean closed = new AtomicBoolean();

	private final CompletableFuture<Void> finished = new CompletableFuture<>();

	private final Supplier<HttpLimits> limits;

	private final BodyBudget budget;

	private final EventLoopGroup loops;

	private final Binding binding;

	private HttpPort(Endpoint endpoint, Supplier<HttpLimits> limits, int threads, Routes routes) {
		this.limits = limits;
		this.budget = new BodyBudget(limits.get().bodyBytesInAll());
		this.loops = new NioEventLoopGroup(threads);
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		application.setStartupSummary(List.of(StartupSummary.NONE));
		application.error((context, cause, code) -> find(context)
			.ifPresent((exchange) -> exchange.answer(describe(code.value()))));
		routes.install(application, this);
		this.binding = new Binding(endpoint);
		try {
			this.binding.start(application);
		}
		catch (RuntimeException ex) {
			stopLoops();
			throw ex;
		}
	}

	/**
	 * Opens a port.
	 * @param endpoint the address to listen on, with port 0 for a free one
	 * @param limits the bounds of its memory and times, asked for each connection
	 * @param threads the number of threads
	 * @param routes what is answered
	 * @return the port, which listens already
	 */
	static HttpPort open(Endpoint endpoint, Supplier<HttpLimits> limits, int threads, Routes routes) {
		return new HttpPort(endpoint, limits, threads, routes);
	}

	private static HttpAnswer describe(int status) {
		FailureCause failure = switch (status) {
			case NOT_FOUND -> FailureCause.NOT_FOUND;
			case METHOD_NOT_ALLOWED -> FailureCause.INVALID;
			default -> FailureCause.INTERNAL;
		};
		String message = switch (status) {
			case NOT_FOUND -> "nothing is served at this path";
			case METHOD_NOT_ALLOWED -> "this path does not take this method";
			default -> "a fault of this entry";
		};
		return new HttpError(status, CallFailure.notRun(failure, message)).toAnswer();
	}

	/**
	 * Returns the address that this port listens on.
	 * @return the address with the port in use
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.binding.listener.localAddress();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Returns the bytes of the bodies that are being received or worked on.
	 * @return the number of bytes
	 */
	public long bodyBytes() {
		return this.budget.taken();
	}

	/**
	 * Returns the exchange of a context.
	 * @param context the context that the HTTP library made for a request
	 * @return the exchange
	 */
	HttpExchange exchange(Context context) {
		return find(context).orElseThrow();
	}

	private Optional<HttpExchange> find(Context context) {
		return Optional.ofNullable(this.connections.get(context.header(Connection.HEADER).value("")))
			.flatMap(Connection::exchange)
			.map((exchange) -> exchange.answeredBy(context));
	}

	/**
	 * Ends the connections that carry no request, and the others after their answers. New
	 * connections are still taken, so that their requests can be refused as not run.
	 */
	public void drain() {
		this.binding.draining = true;
		this.connections.values().forEach(Connection::drain);
	}

	/**
	 * Takes no further connections and ends those that are open after their answers. What
	 * was answered before this call is sent whole.
	 * @return a stage that completes once no connection is left
	 */
	public CompletableFuture<Void> finish() {
		if (this.closed.get()) {
			// The process was closed before it was done: its threads are gone, and
			// nobody would tell that no connection is left.
			this.finished.complete(null);
			return this.finished.copy();
		}
		this.binding.listener.close().addListener((done) -> {
			this.binding.finishing = true;
			drain();
			this.accepted.newCloseFuture().addListener((ended) -> this.finished.complete(null));
		});
		return this.finished.copy();
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
	 * A function that puts routes into an application. Called once, before the port
	 * listens.
	 */
	@FunctionalInterface
	interface Routes {

		/**
		 * Puts routes into an application.
		 * @param application the application
		 * @param port the port that will run it, not listening yet
		 */
		void install(Jooby application, HttpPort port);

	}

	/**
	 * A Jooby server that binds the application's handler to the port. Started and
	 * stopped once.
	 */
	private final class Binding extends Server.Base {

		private final ServerOptions options = new ServerOptions();

		private final Endpoint endpoint;

		private volatile boolean draining;

		private volatile boolean finishing;

		private Optional<Jooby> application = Optional.empty();

		private Channel listener;

		Binding(Endpoint endpoint) {
			this.endpoint = endpoint;
			this.options.setHost(endpoint.ip());
			this.options.setPort(endpoint.port());
			this.options.setMaxRequestSize(HttpPort.this.limits.get().bodyBytes());
			this.options.setBufferSize(BUFFER_BYTES);
		}

		@Override
		public Server setOptions(ServerOptions replacement) {
			throw new UnsupportedOperationException("the options of a port are fixed");
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
			this.application = Optional.of(application);
			fireStart(List.of(application), HttpPort.this.loops);
			this.listener = new ServerBootstrap().group(HttpPort.this.loops)
				.channel(NioServerSocketChannel.class)
				.option(ChannelOption.SO_REUSEADDR, true)
				.handler(new Acceptance())
				.childOption(ChannelOption.TCP_NODELAY, true)
				.childHandler(new Pipeline(application, this))
				.bind(this.endpoint.ip(), this.endpoint.port())
				.syncUninterruptibly()
				.channel();
			fireReady(List.of(application));
			return this;
		}

		@Override
		public Server stop() {
			this.listener.close().syncUninterruptibly();
			HttpPort.this.connections.values().forEach(Connection::close);
			this.application.ifPresent((started) -> fireStop(List.of(started)));
			return this;
		}

	}

	/**
	 * Notes connections as they are accepted. Each is set up later, on its own thread;
	 * counted only then, one that is accepted just before the port stops listening would
	 * be missed, and the process would end under it. This runs on the thread that also
	 * stops the listening, so once that is done no connection is missing here. Used by
	 * the event loop of the listener.
	 */
	private final class Acceptance extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			HttpPort.this.accepted.add((Channel) message);
			context.fireChannelRead(message);
		}

	}

	/**
	 * The pipeline of a connection, from bytes to the application's routes. Runs on the
	 * event loop of the connection.
	 */
	private final class Pipeline extends ChannelInitializer<SocketChannel> {

		// The library puts the writer of streams after the handler of this name.
		private static final String CODEC = "codec";

		private final HttpDataFactory unused = new DefaultHttpDataFactory(false);

		private final Jooby application;

		private final Binding binding;

		Pipeline(Jooby application, Binding binding) {
			this.application = application;
			this.binding = binding;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			HttpLimits limits = HttpPort.this.limits.get();
			if (HttpPort.this.connections.size() >= limits.connections()) {
				channel.close();
				return;
			}
			BodyBudget.Part part = HttpPort.this.budget.part();
			Connection connection = new Connection(channel, limits, part);
			register(channel, connection);
			ChannelPipeline pipeline = channel.pipeline();
			pipeline.addLast(new IdleStateHandler(true, 0, limits.stallTime().toNanos(), limits.idleTime().toNanos(),
					TimeUnit.NANOSECONDS));
			pipeline.addLast(connection.arrivals());
			pipeline.addLast(CODEC, new HttpServerCodec(LINE_BYTES, limits.headerBytes(), CHUNK_BYTES));
			pipeline.addLast(new HttpServerKeepAliveHandler());
			pipeline.addLast(new RequestAssembler(limits.bodyBytes(), part, connection));
			pipeline.addLast(connection);
			pipeline.addLast(new NettyHandler(channel.eventLoop(), this.application, limits.bodyBytes(), BUFFER_BYTES,
					this.unused, false, false));
		}

		private void register(SocketChannel channel, Connection connection) {
			HttpPort.this.connections.put(connection.name(), connection);
			channel.closeFuture().addListener((end) -> HttpPort.this.connections.remove(connection.name()));
			if (this.binding.finishing) {
				// Accepted before the port stopped listening and set up after it ended
				// its connections: nothing else would end this one before its idle time.
				// It is put into the map first, so either that or this sees it.
				connection.drain();
			}
			else if (this.binding.draining) {
				connection.endAfterNextAnswer();
			}
		}

	}

}
