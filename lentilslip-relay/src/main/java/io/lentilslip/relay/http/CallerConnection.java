package io.lentilslip.relay.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.lentilslip.core.call.Header;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.RouteTable;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One connection of a caller. Requests are taken one after the other: what arrives during
 * an answer waits, and beyond a bound is not read. Bad input ends the connection after an
 * answer that says why, and touches nothing else. Used by the event loop's thread.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The most messages that wait while an answer is under way.
	 */
	private static final int WAITING = 64;

	private final CallerListener listener;

	private final Supplier<RouteTable.Limits> limits;

	private final BooleanSupplier draining;

	private final Deque<Object> waiting = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private Optional<HttpRequest> request = Optional.empty();

	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	private boolean answering;

	private boolean ending;

	private boolean closeAfter;

	private boolean chunked;

	private long exchange;

	CallerConnection(CallerListener listener, Supplier<RouteTable.Limits> limits, BooleanSupplier draining) {
		this.listener = listener;
		this.limits = limits;
		this.draining = draining;
	}

	/**
	 * Answers with the whole answer of an upstream.
	 * @param head the head
	 * @param content the body
	 */
	public void respond(ResponseHead head, byte[] content) {
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()), Unpooled.wrappedBuffer(content));
		copy(head, answer);
		respond(answer);
	}

	/**
	 * Answers with an answer of the relay's own.
	 * @param respond the answer
	 */
	public void respond(FullHttpResponse answer) {
		if (mayHaveBody(answer)) {
			HttpUtil.setContentLength(answer, answer.content().readableBytes());
		}
		persist(answer);
		this.context.writeAndFlush(answer).addListener((done) -> ended());
	}

	/**
	 * Begins a stream.
	 * @param head the head of the upstream's answer
	 */
	public void startStream(ResponseHead head) {
		HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
		copy(head, answer);
		if (this.chunked) {
			HttpUtil.setTransferEncodingChunked(answer, true);
		}
		else {
			this.closeAfter = true;
		}
		persist(answer);
		this.context.writeAndFlush(answer);
	}

	/**
	 * Passes on a part of a stream.
	 * @param bytes the part
	 */
	public void writeContent(byte[] bytes) {
		this.context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
	}

	/**
	 * Ends a stream as complete.
	 */
	public void endStream() {
		this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((done) -> ended());
	}

	/**
	 * Closes the connection in the middle of an answer.
	 */
	public void abort() {
		this.answering = false;
		this.ending = true;
		this.context.close();
	}

	/**
	 * Closes the connection if it is idle, and otherwise after its answer.
	 */
	void drain() {
		this.closeAfter = true;
		if (!this.answering && this.request.isEmpty()) {
			this.context.close();
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		expectWithin(this.limits.get().idleTimeout());
	}

	@Override
	public void channelRead(ChannelHandlerContext reading, Object message) {
		if (this.ending) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.answering) {
			this.waiting.add(message);
			if (this.waiting.size() >= WAITING) {
				reading.channel().config().setAutoRead(false);
			}
			return;
		}
		take(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		cancelTimer();
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		if (this.answering) {
			this.answering = false;
			this.listener.onDisconnect(this.exchange);
		}
		this.ending = true;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
		// A reset by the caller; the close tells whoever works for it.
		failed.close();
	}

	private void take(Object message) {
		if (message instanceof HttpRequest next) {
			begin(next);
		}
		if (message instanceof HttpContent content) {
			add(content);
		}
	}

	private void begin(HttpRequest next) {
		if (next.decoderResult().isFailure()) {
			refuse(statusOf(next.decoderResult().cause()));
			return;
		}
		this.request = Optional.of(next);
		this.body = new ByteArrayOutputStream();
		expectWithin(this.limits.get().idleTimeout());
		if (HttpUtil.getContentLength(next, 0L) > this.limits.get().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (HttpUtil.is100ContinueExpected(next)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void add(HttpContent content) {
		ByteBuf bytes = content.content();
		try {
			if (this.ending || this.request.isEmpty()) {
				return;
			}
			if (content.decoderResult().isFailure()) {
				refuse(statusOf(content.decoderResult().cause()));
				return;
			}
			if (this.body.size() + bytes.readableBytes() > this.limits.get().maxBodyBytes()) {
				refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
				return;
			}
			this.body.writeBytes(ByteBufUtil.getBytes(bytes));
			if (content instanceof LastHttpContent) {
				complete();
			}
		}
		finally {
			content.release();
		}
	}

	private void complete() {
		HttpRequest whole = this.request.orElseThrow();
		this.request = Optional.empty();
		cancelTimer();
		this.answering = true;
		this.chunked = whole.protocolVersion().isKeepAliveDefault();
		this.closeAfter = this.closeAfter || !HttpUtil.isKeepAlive(whole);
		this.exchange = this.listener.onRequest(this, whole, this.body.toByteArray());
	}

	private void ended() {
		this.answering = false;
		if (this.closeAfter || !this.context.channel().isActive()) {
			this.ending = true;
			this.context.close();
			return;
		}
		expectWithin(this.limits.get().idleTimeout());
		while (!this.answering && !this.ending && !this.waiting.isEmpty()) {
			take(this.waiting.pollFirst());
		}
		if (this.waiting.isEmpty()) {
			this.context.channel().config().setAutoRead(true);
		}
	}

	private void refuse(HttpResponseStatus status) {
		this.ending = true;
		cancelTimer();
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
		HttpUtil.setContentLength(answer, 0);
		answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
	}

	private static HttpResponseStatus statusOf(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		return HttpResponseStatus.BAD_REQUEST;
	}

	private void persist(HttpResponse answer) {
		this.closeAfter = this.closeAfter || this.draining.getAsBoolean();
		if (this.closeAfter) {
			answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private static boolean mayHaveBody(HttpResponse answer) {
		int status = answer.status().code();
		return status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
	}

	private static void copy(ResponseHead head, HttpResponse answer) {
		for (Header header : head.headers()) {
			answer.headers().add(header.name(), header.value());
		}
	}

	private void expectWithin(Duration time) {
		cancelTimer();
		this.timer = Optional
			.of(this.context.executor().schedule(this::tooSlow, time.toMillis(), TimeUnit.MILLISECONDS));
	}

	private void tooSlow() {
		if (this.answering) {
			return;
		}
		if (this.request.isPresent()) {
			refuse(HttpResponseStatus.REQUEST_TIMEOUT);
			return;
		}
		this.ending = true;
		this.context.close();
	}

	private void cancelTimer() {
		this.timer.ifPresent((pending) -> pending.cancel(false));
		this.timer = Optional.empty();
	}

}
