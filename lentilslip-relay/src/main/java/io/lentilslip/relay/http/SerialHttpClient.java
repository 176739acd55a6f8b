package io.lentilslip.relay.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.lentilslip.relay.net.Sockets;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One kept connection to an HTTP server, for calls that go one after the other. A call
 * that is not answered in time ends its connection, so that a late answer meets nothing;
 * the next call makes a new one. Used by the event loop's thread.
 */
public final class SerialHttpClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The most bytes of an answer: above what one read of the store returns.
	 */
	private static final int ANSWER_BYTES = 8 * 1024 * 1024;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Deque<Call> calls = new ArrayDeque<>();

	private Optional<Channel> channel = Optional.empty();

	private Optional<Call> current = Optional.empty();

	private Optional<ScheduledFuture<?>> timeout = Optional.empty();

	/**
	 * Creates a lane without a connection.
	 * @param loop the event loop
	 * @param address the server's address
	 */
	public SerialHttpClient(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
	}

	/**
	 * Makes a call when those before it are over.
	 * @param request the request
	 * @param timeout how long to wait for the whole answer
	 * @param callback takes the answer, which it must not release, or empty if there is
	 * none
	 */
	public void call(FullHttpRequest request, Duration timeout, Consumer<Optional<FullHttpResponse>> callback) {
		this.calls.add(new Call(request, timeout, callback));
		next();
	}

	private void next() {
		if (this.current.isPresent() || this.calls.isEmpty()) {
			return;
		}
		Call call = this.calls.pollFirst();
		this.current = Optional.of(call);
		this.timeout = Optional
			.of(this.loop.schedule(() -> end(call), call.patience().toMillis(), TimeUnit.MILLISECONDS));
		if (this.channel.isPresent() && this.channel.get().isActive()) {
			this.channel.get().writeAndFlush(call.request());
			return;
		}
		connect(call);
	}

	private void connect(Call call) {
		ChannelFuture connecting = Sockets.connect(this.loop, this.address, CONNECT_TIMEOUT,
				(created) -> created.pipeline()
					.addLast(new HttpClientCodec(), new HttpObjectAggregator(ANSWER_BYTES), new Answers()));
		connecting.addListener((done) -> {
			if (!isCurrent(call)) {
				connecting.channel().close();
				return;
			}
			if (!done.isSuccess()) {
				end(call);
				return;
			}
			this.channel = Optional.of(connecting.channel());
			connecting.channel().writeAndFlush(call.request());
		});
	}

	private boolean isCurrent(Call call) {
		return this.current.isPresent() && this.current.get() == call;
	}

	private void end(Call call) {
		if (isCurrent(call)) {
			finish(Optional.empty());
		}
	}

	private void finish(Optional<FullHttpResponse> answer) {
		if (this.current.isEmpty()) {
			return;
		}
		Call call = this.current.get();
		this.current = Optional.empty();
		this.timeout.ifPresent((pending) -> pending.cancel(false));
		if (answer.isEmpty() || !HttpUtil.isKeepAlive(answer.get())) {
			this.channel.ifPresent(Channel::close);
			this.channel = Optional.empty();
		}
		call.then().accept(answer);
		next();
	}

	/**
	 * A call that waits or is under way. Immutable.
	 *
	 * @param request the request
	 * @param timeout how long to wait for the whole answer
	 * @param callback takes the answer
	 */
	private record Call(FullHttpRequest request, Duration patience, Consumer<Optional<FullHttpResponse>> then) {

	}

	/**
	 * Takes the answers of one connection. Used by the event loop's thread.
	 */
	private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
			if (isOwn(context)) {
				finish(answer.decoderResult().isSuccess() ? Optional.of(answer) : Optional.empty());
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (isOwn(context)) {
				SerialHttpClient.this.channel = Optional.empty();
				finish(Optional.empty());
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The close that follows tells the call.
			context.close();
		}

		private boolean isOwn(ChannelHandlerContext context) {
			return SerialHttpClient.this.channel.isPresent()
					&& SerialHttpClient.this.channel.get() == context.channel();
		}

	}

}
