package io.lentilslip.relay.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.lentilslip.relay.net.Sockets;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * HTTP client that sends one request at a time on a persistent connection, without HEAD.
 * Responses name no request, so the connection is closed when a request times out and
 * when bytes follow a response. Used by the event loop's thread.
 */
public final class SerialHttpClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The maximum size of a response, in bytes. Larger than any response of the store.
	 */
	private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

	/**
	 * The maximum size of what precedes the body of a response, in bytes.
	 */
	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Deque<Call> queue = new ArrayDeque<>();

	private Optional<Channel> channel = Optional.empty();

	private Optional<Call> current = Optional.empty();

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	/**
	 * Creates a client without a connection.
	 * @param loop the event loop
	 * @param address the server's address
	 */
	public SerialHttpClient(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
	}

	/**
	 * Sends a request after those queued before it.
	 * @param request the request
	 * @param timeout the time limit for the complete response
	 * @param callback receives the response, which it must not release, or empty if the
	 * call failed
	 */
	public void call(FullHttpRequest request, Duration timeout, Consumer<Optional<FullHttpResponse>> callback) {
		this.queue.add(new Call(request, timeout, callback));
		sendNext();
	}

	private void sendNext() {
		if (this.current.isPresent() || this.queue.isEmpty()) {
			return;
		}
		Call call = this.queue.pollFirst();
		this.current = Optional.of(call);
		this.timer = Optional
			.of(this.loop.schedule(() -> fail(call), call.timeout().toMillis(), TimeUnit.MILLISECONDS));
		if (this.channel.isPresent() && this.channel.get().isActive()) {
			this.channel.get().writeAndFlush(call.request());
			return;
		}
		connect(call);
	}

	private void connect(Call call) {
		ChannelFuture future = Sockets.connect(this.loop, this.address, CONNECT_TIMEOUT, (created) -> {
			Sockets.reportOrderlyEnd(created);
			ResponseDecoder decoder = new ResponseDecoder();
			created.pipeline()
				.addLast(new ReadLimiter(), new HttpRequestEncoder(), decoder,
						new HttpObjectAggregator(MAX_RESPONSE_BYTES), new ResponseHandler(decoder));
		});
		future.addListener((done) -> {
			if (!isCurrent(call)) {
				future.channel().close();
				return;
			}
			if (!done.isSuccess()) {
				fail(call);
				return;
			}
			this.channel = Optional.of(future.channel());
			future.channel().writeAndFlush(call.request());
		});
	}

	private boolean isCurrent(Call call) {
		return this.current.isPresent() && this.current.get() == call;
	}

	private void fail(Call call) {
		if (isCurrent(call)) {
			complete(Optional.empty());
		}
	}

	private void complete(Optional<FullHttpResponse> response) {
		if (this.current.isEmpty()) {
			return;
		}
		Call call = this.current.get();
		this.current = Optional.empty();
		this.timer.ifPresent((pending) -> pending.cancel(false));
		if (response.isEmpty() || !HttpUtil.isKeepAlive(response.get())) {
			this.channel.ifPresent(Channel::close);
			this.channel = Optional.empty();
		}
		try {
			call.callback().accept(response);
		}
		finally {
			// The calls in the queue must not depend on the outcome of this one.
			sendNext();
		}
	}

	/**
	 * A queued call or the one in flight. Immutable.
	 *
	 * @param request the request
	 * @param timeout the time limit for the complete response
	 * @param callback receives the response, or empty if the call failed
	 */
	private record Call(FullHttpRequest request, Duration timeout, Consumer<Optional<FullHttpResponse>> callback) {

	}

	/**
	 * Closes a connection that receives bytes without a call, or more than any response
	 * has. Used by the event loop's thread.
	 */
	private final class ReadLimiter extends ChannelInboundHandlerAdapter {

		private Optional<Call> call = Optional.empty();

		private long received;

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (!this.call.equals(SerialHttpClient.this.current)) {
				this.call = SerialHttpClient.this.current;
				this.received = 0;
			}
			this.received += (message instanceof ByteBuf bytes) ? bytes.readableBytes() : 0;
			if (this.call.isEmpty() || this.received > MAX_RESPONSE_BYTES + MAX_HEAD_BYTES) {
				ReferenceCountUtil.release(message);
				context.close();
				return;
			}
			super.channelRead(context, message);
		}

	}

	/**
	 * Response decoder that knows whether bytes follow a response. Used by one
	 * connection.
	 */
	private static final class ResponseDecoder extends StrictResponseDecoder {

		boolean hasUnreadBytes() {
			return actualReadableBytes() > 0;
		}

	}

	/**
	 * Handles the responses of one connection. Used by the event loop's thread.
	 */
	private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final ResponseDecoder decoder;

		ResponseHandler(ResponseDecoder decoder) {
			this.decoder = decoder;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (isCurrentChannel(context) && !informational) {
				// If the channel is closed, the decoder has ended a response without a
				// length that may lack its last part.
				boolean whole = response.decoderResult().isSuccess() && context.channel().isActive();
				if (this.decoder.hasUnreadBytes()) {
					// Matched to the next call, they would answer it before it was sent.
					SerialHttpClient.this.channel = Optional.empty();
					context.close();
				}
				complete(whole ? Optional.of(response) : Optional.empty());
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
			if (event instanceof ChannelInputShutdownEvent) {
				context.close();
			}
			super.userEventTriggered(context, event);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (isCurrentChannel(context)) {
				SerialHttpClient.this.channel = Optional.empty();
				complete(Optional.empty());
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// channelInactive fails the call.
			context.close();
		}

		private boolean isCurrentChannel(ChannelHandlerContext context) {
			return SerialHttpClient.this.channel.isPresent()
					&& SerialHttpClient.this.channel.get() == context.channel();
		}

	}

}
