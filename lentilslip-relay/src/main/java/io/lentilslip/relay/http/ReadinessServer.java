package io.lentilslip.relay.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.lentilslip.relay.net.Sockets;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server for the platform's readiness checks and for metrics. The number of
 * connections and the size of a request are bounded, as a process may be reached here by
 * others too; at the bound the oldest connection is closed. Used by the event loop's
 * thread.
 */
public final class ReadinessServer {

	/**
	 * The path of the metrics.
	 */
	public static final String METRICS_PATH = "/metrics";

	private static final int MAX_REQUEST_BYTES = 4096;

	private static final int MAX_CHUNK_BYTES = 4096;

	private static final int MAX_CONNECTIONS = 16;

	/**
	 * The open connections, oldest first.
	 */
	private final Set<Channel> connections = new LinkedHashSet<>();

	private final BooleanSupplier ready;

	private final Supplier<String> metrics;

	/**
	 * Creates a server that is not yet bound.
	 * @param ready whether the relay accepts requests
	 * @param metrics supplies the metrics in text format
	 */
	public ReadinessServer(BooleanSupplier ready, Supplier<String> metrics) {
		this.ready = ready;
		this.metrics = metrics;
	}

	/**
	 * Binds the server socket.
	 * @param loop the event loop
	 * @param address the address
	 * @return the future of the server socket
	 */
	public ChannelFuture bind(EventLoopGroup loop, InetSocketAddress address) {
		return Sockets.bind(loop, address, this::accept);
	}

	private void accept(Channel channel) {
		if (this.connections.size() >= MAX_CONNECTIONS) {
			Channel oldest = this.connections.iterator().next();
			this.connections.remove(oldest);
			oldest.close();
		}
		this.connections.add(channel);
		channel.closeFuture().addListener((closed) -> this.connections.remove(channel));
		channel.pipeline()
			.addLast(new HttpServerCodec(MAX_REQUEST_BYTES, MAX_REQUEST_BYTES, MAX_CHUNK_BYTES),
					new HttpServerKeepAliveHandler(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
					new RequestHandler());
	}

	/**
	 * Handles the requests of one connection. Used by the event loop's thread.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			FullHttpResponse response = request.uri().equals(METRICS_PATH) ? metrics() : readiness();
			HttpUtil.setContentLength(response, response.content().readableBytes());
			context.writeAndFlush(response);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The platform retries on a new connection.
			context.close();
		}

		private FullHttpResponse readiness() {
			boolean isReady = ReadinessServer.this.ready.getAsBoolean();
			return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
		}

		private FullHttpResponse metrics() {
			byte[] text = ReadinessServer.this.metrics.get().getBytes(StandardCharsets.UTF_8);
			return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.wrappedBuffer(text));
		}

	}

}
