package io.lentilslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.Header;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * A caller's connection, between the codec and the HTTP library. It carries one exchange
 * at a time and guards what the library leaves open: a caller that goes, one that sends
 * slowly, one that does not read, and requests that are no HTTP. Confined to its event
 * loop, but for {@link #execute(Runnable)}, {@link #drain()} and {@link #close()}.
 */
final class Connection extends ChannelDuplexHandler {

	/**
	 * The header by which a request names its connection inside this process.
	 */
	static final String HEADER = "Lentilslip-Connection";

	private static final Duration LINGER = Duration.ofSeconds(2);

	private final Channel channel;

	private final HttpLimits limits;

	private final BodyBudget.Part budget;

	private Optional<HttpExchange> exchange = Optional.empty();

	private List<Header> nextHeaders = List.of();

	private Optional<Future<?>> receiveTimer = Optional.empty();

	private long unwritten;

	private boolean refused;

	private boolean draining;

	/**
	 * Creates a connection.
	 * @param channel its channel
	 * @param limits its bounds
	 * @param budget where the bytes of its bodies are taken from
	 */
	Connection(Channel channel, HttpLimits limits, BodyBudget.Part budget) {
		this.channel = channel;
		this.limits = limits;
		this.budget = budget;
	}

	/**
	 * Returns the name of this connection, unlike that of any other.
	 * @return the name
	 */
	String name() {
		return this.channel.id().asLongText();
	}

	/**
	 * Returns the exchange in hand.
	 * @return the exchange, or an empty result
	 */
	Optional<HttpExchange> exchange() {
		return this.exchange;
	}

	/**
	 * Runs a task on the event loop, or drops it if the process has stopped the loop.
	 * @param task the task
	 */
	void execute(Runnable task) {
		if (!this.channel.eventLoop().isShuttingDown()) {
			this.channel.eventLoop().execute(task);
		}
	}

	/**
	 * Closes the connection once no exchange is in hand.
	 */
	void drain() {
		execute(() -> {
			endAfterNextAnswer();
			closeIfUnused();
		});
	}

	/**
	 * Closes the connection after the answer that is under way or comes next.
	 */
	void endAfterNextAnswer() {
		this.draining = true;
	}

	/**
	 * Closes the connection, whatever it carries.
	 */
	void close() {
		this.channel.close();
	}

	/**
	 * Sends what was written.
	 */
	void flush() {
		this.channel.flush();
	}

	/**
	 * Adds headers to the answer that begins next. The HTTP library keeps one value for
	 * each name, and a service may answer with several, such as cookies.
	 * @param headers the headers
	 */
	void addToNextAnswer(List<Header> headers) {
		this.nextHeaders = headers;
	}

	/**
	 * Gives a caller up that leaves more of its stream unread than is kept for it. The
	 * alternative, to wait for it, would hold an engine's memory at the pace of a caller.
	 */
	void requireReader() {
		if (this.unwritten > this.limits.unreadBytes()) {
			reset();
		}
	}

	/**
	 * Answers bytes that are no request to work on, and closes the connection.
	 * @param error the answer
	 */
	void refuse(HttpError error) {
		if (this.refused) {
			return;
		}
		this.refused = true;
		stopReceiving();
		if (this.exchange.isPresent()) {
			reset();
			return;
		}
		byte[] bytes = error.toJson().toString().getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(error.status()), Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.pipeline()
			.context(HttpServerKeepAliveHandler.class)
			.writeAndFlush(response)
			.addListener((sent) -> linger());
	}

	// A socket closed while the caller still sends is reset, and the reset may overtake
	// the refusal: the caller would see a broken connection and not know why. So only
	// this side ends, and what still comes is read and dropped for a bounded time.
	private void linger() {
		if (this.channel instanceof SocketChannel socket && socket.isActive()) {
			socket.shutdownOutput();
		}
		this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void reset() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	private void closeIfUnused() {
		boolean receiving = this.receiveTimer.isPresent();
		if (this.exchange.isEmpty() && !receiving && this.unwritten == 0 && !this.refused) {
			this.channel.close();
		}
	}

	/**
	 * Returns the handler that stands before the codec and watches how long a request
	 * takes to arrive. A time between two bytes would not do: a caller that sends one
	 * byte every few seconds would hold its part of the memory for hours.
	 * @return the handler
	 */
	ChannelInboundHandlerAdapter arrivals() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				if (Connection.this.refused) {
					ReferenceCountUtil.release(message);
					return;
				}
				startReceiving();
				context.fireChannelRead(message);
			}

		};
	}

	private void startReceiving() {
		if (this.receiveTimer.isEmpty() && this.exchange.isEmpty()) {
			this.receiveTimer = Optional.of(this.channel.eventLoop()
				.schedule(() -> refuse(HttpError.tooSlow()), this.limits.receiveTime().toNanos(),
						TimeUnit.NANOSECONDS));
		}
	}

	private void stopReceiving() {
		this.receiveTimer.ifPresent((timer) -> timer.cancel(false));
		this.receiveTimer = Optional.empty();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		try {
			stopReceiving();
			receive(context, request);
		}
		finally {
			request.release();
		}
	}

	private void receive(ChannelHandlerContext context, FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			refuse(describe(request.decoderResult().cause()));
			return;
		}
		if (this.exchange.isPresent() || this.refused) {
			reset();
			return;
		}
		Body body = Body.of(ByteBufUtil.getBytes(request.content()));
		HttpHeaders headers = request.headers().copy();
		this.exchange = Optional.of(new HttpExchange(this, request.method().name(), request.uri(), headers, body));
		context.fireChannelRead(withoutBody(request));
	}

	// The library would write longer bodies to a disk and take forms apart.
	private DefaultHttpRequest withoutBody(FullHttpRequest request) {
		DefaultHttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HEADER, name());
		copy(HttpHeaderNames.CONNECTION, request.headers(), headers);
		copy(HttpHeaderNames.HOST, request.headers(), headers);
		return new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), headers);
	}

	private static void copy(CharSequence name, HttpHeaders from, HttpHeaders to) {
		to.set(name, from.getAll(name));
	}

	private static HttpError describe(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return HttpError.headersTooLarge();
		}
		return HttpError.invalid("the request is not valid HTTP");
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpResponse response) {
			this.nextHeaders.forEach((header) -> add(header, response.headers()));
			this.nextHeaders = List.of();
			if (this.draining) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
		}
		int bytes = length(message);
		this.unwritten += bytes;
		ChannelFuture written = context.write(message, promise.unvoid());
		written.addListener((sent) -> this.unwritten -= bytes);
		if (message instanceof LastHttpContent) {
			this.exchange = Optional.empty();
			this.budget.free();
			written.addListener((sent) -> closeIfDrained());
		}
	}

	// A drain that comes after the head of an answer finds no header to end the
	// connection by, nor may it close it before the last byte has left. Without this the
	// connection would stay open until its idle time and hold up the end of the process.
	// Each answer ends here, so none is missed; a request that follows is answered first.
	private void closeIfDrained() {
		if (this.draining) {
			closeIfUnused();
		}
	}

	// The library sets a type of its own beforehand.
	private static void add(Header header, HttpHeaders headers) {
		if (header.name().equalsIgnoreCase(HttpHeaderNames.CONTENT_TYPE.toString())) {
			headers.set(header.name(), header.value());
			return;
		}
		headers.add(header.name(), header.value());
	}

	private static int length(Object message) {
		if (message instanceof HttpContent content) {
			return content.content().readableBytes();
		}
		return (message instanceof ByteBuf buffer) ? buffer.readableBytes() : 0;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (!(event instanceof IdleStateEvent idle)) {
			return;
		}
		if (idle.state() == IdleState.WRITER_IDLE && this.unwritten > 0) {
			reset();
		}
		if (idle.state() == IdleState.ALL_IDLE) {
			closeIfUnused();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		stopReceiving();
		Optional<HttpExchange> unfinished = this.exchange;
		this.exchange = Optional.empty();
		this.budget.free();
		unfinished.ifPresent(HttpExchange::abandon);
		super.channelInactive(context);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (isExhausted(cause)) {
			refuse(HttpError.busy("too many large requests at once"));
			return;
		}
		context.close();
	}

	private static boolean isExhausted(Throwable cause) {
		return cause instanceof BodyBudget.Exhausted || cause.getCause() instanceof BodyBudget.Exhausted;
	}

}
