package io.lentilslip.relay.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.lentilslip.core.call.Header;
import io.lentilslip.core.measurement.Measurement.CallerShed.Cause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpMethod;
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
 * Connection of a caller. Handles one request at a time: pipelined requests wait as they
 * were received, and reading is paused when many bytes wait. An invalid request gets an
 * error response, after which the connection is closed. What is held of a request that
 * was not passed on may be evicted, which refuses it. Used by the event loop's thread.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The bytes that a head takes besides its lines.
	 */
	private static final int HEAD_BYTES = 512;

	/**
	 * What unread bytes of a stream take: as much again waits behind them at the
	 * connection to the upstream.
	 */
	private static final int UNREAD_FACTOR = 2;

	/**
	 * The retry delay of a caller for whose body there is no memory; the time in which
	 * most responses end.
	 */
	private static final int RETRY_AFTER_SECONDS = 1;

	private final CallerListener listener;

	private final Timers timers;

	private final Supplier<RouteTable.Limits> limits;

	private final BooleanSupplier draining;

	private final HeldBytes heldBytes;

	private final Owner owner;

	/**
	 * What is held of the request that is being received, and of those behind it.
	 */
	private final HeldBytes.Account input;

	/**
	 * What is held of a streaming response that the caller has not read.
	 */
	private final HeldBytes.Account output;

	private long unreadBytes;

	private final ArrivalTimes arrivalTimes = new ArrivalTimes();

	private Optional<StrictRequestDecoder> decoder = Optional.empty();

	/**
	 * The size of the buffer with bytes that wait to be decoded.
	 */
	private int waitingBytes;

	/**
	 * What the decoded lines of the request take that is being received.
	 */
	private int decodedBytes;

	private boolean inputDropped;

	private long headReadAt;

	/**
	 * The earliest time at which the connection may have been opened, and the time at
	 * which it was accepted.
	 */
	private long earliestOpen;

	private long acceptedAt;

	private ChannelHandlerContext context;

	private Optional<HttpRequest> request = Optional.empty();

	private BodyBuffer body = new BodyBuffer(OptionalInt.empty());

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	private boolean responding;

	private boolean closing;

	private boolean closeAfterResponse;

	private boolean supportsChunked;

	private boolean headRequest;

	private long exchange;

	/**
	 * The bytes of the request that was passed on.
	 */
	private long accepted;

	/**
	 * The bytes of the body of its response.
	 */
	private long held;

	CallerConnection(CallerListener listener, Timers timers, Supplier<RouteTable.Limits> limits,
			BooleanSupplier draining, HeldBytes heldBytes, Owner owner) {
		this.owner = owner;
		this.input = heldBytes.open(this::evict);
		this.output = heldBytes.open(this::cutOff);
		this.listener = listener;
		this.timers = timers;
		this.limits = limits;
		this.draining = draining;
		this.heldBytes = heldBytes;
	}

	/**
	 * Sends an upstream's complete response.
	 * @param head the response head
	 * @param responseBody the response body
	 */
	public void respond(ResponseHead head, byte[] responseBody) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()), Unpooled.wrappedBuffer(responseBody));
		copyHeaders(head, response);
		this.held += responseBody.length;
		this.heldBytes.hold(responseBody.length);
		respond(response);
	}

	/**
	 * Sends a response created by the relay.
	 * @param response the response
	 */
	public void respond(FullHttpResponse response) {
		if (mayHaveBody(response)) {
			HttpUtil.setContentLength(response, response.content().readableBytes());
		}
		setConnectionHeader(response);
		this.context.writeAndFlush(this.headRequest ? withoutBody(response) : response)
			.addListener((done) -> responseSent());
	}

	private static FullHttpResponse withoutBody(FullHttpResponse response) {
		FullHttpResponse head = response.replace(Unpooled.EMPTY_BUFFER);
		response.release();
		return head;
	}

	/**
	 * Starts a streaming response.
	 * @param head the head of the upstream's response
	 */
	public void startStream(ResponseHead head) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()));
		copyHeaders(head, response);
		if (this.supportsChunked) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		else {
			this.closeAfterResponse = true;
		}
		setConnectionHeader(response);
		this.context.writeAndFlush(response);
	}

	/**
	 * Sends a part of a streaming response.
	 * @param bytes the bytes to send
	 */
	public void writeContent(byte[] bytes) {
		this.unreadBytes += bytes.length;
		this.context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))).addListener((done) -> {
			this.unreadBytes -= bytes.length;
			holdOutput();
		});
		holdOutput();
	}

	private void holdOutput() {
		if (this.context.channel().isOpen()) {
			this.output.hold(UNREAD_FACTOR * this.unreadBytes);
		}
	}

	/**
	 * Completes a streaming response.
	 */
	public void endStream() {
		this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((done) -> responseSent());
	}

	/**
	 * Closes the connection without completing the response.
	 */
	public void abort() {
		releaseHeld();
		this.responding = false;
		this.closing = true;
		this.context.close();
	}

	/**
	 * Closes the connection now if it is idle, otherwise after the response.
	 */
	void drain() {
		this.closeAfterResponse = true;
		if (!this.responding && this.request.isEmpty()) {
			this.context.close();
		}
	}

	/**
	 * Closes a connection that has no request that was passed on, or whose caller does
	 * not read its response.
	 */
	void shed() {
		this.owner.shed(Cause.CONNECTIONS);
		this.context.close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.earliestOpen = this.timers.earliestArrival();
		this.acceptedAt = this.timers.now();
		startTimer(this.limits.get().idleTimeout());
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.headReadAt = (message instanceof HttpRequest) ? headArrivedAt() : this.headReadAt;
		process(message);
	}

	void setDecoder(StrictRequestDecoder requestDecoder) {
		this.decoder = Optional.of(requestDecoder);
	}

	/**
	 * Called when bytes were received, before they are decoded.
	 * @param bytes the number of bytes
	 */
	void bytesReceived(int bytes) {
		this.arrivalTimes.record(bytes, earliestArrival());
	}

	/**
	 * Called when the decoder has decoded what it may for now.
	 * @param bytes the number of bytes that wait
	 * @param capacity the size of the buffer that they are in
	 */
	void bytesWaiting(int bytes, int capacity) {
		if (this.closing) {
			return;
		}
		this.waitingBytes = capacity;
		if (!holdInput()) {
			evict();
			return;
		}
		if (this.responding && bytes >= this.limits.get().maxHeaderBytes()) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	/**
	 * Holds decoded bytes of the request that is being received.
	 * @param bytes the number of bytes
	 * @return whether there is room for them
	 */
	boolean holdDecoded(int bytes) {
		this.decodedBytes += bytes;
		return holdInput();
	}

	StrictRequestDecoder.InputState inputState() {
		if (this.closing || this.inputDropped) {
			return StrictRequestDecoder.InputState.DROPPED;
		}
		return this.responding ? StrictRequestDecoder.InputState.WAITING : StrictRequestDecoder.InputState.ACCEPTED;
	}

	private boolean holdInput() {
		return this.input.tryResize((long) this.waitingBytes + this.decodedBytes + this.body.capacity());
	}

	// Nothing of it has been passed on, so it has not run and never will.
	private void evict() {
		if (this.closing) {
			return;
		}
		if (this.decodedBytes > 0) {
			reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
			return;
		}
		this.owner.shed(Cause.MEMORY);
		if (this.responding) {
			this.inputDropped = true;
			this.closeAfterResponse = true;
			decodeNext();
			return;
		}
		this.closing = true;
		releaseHeld();
		this.context.close();
	}

	// The upstream runs the request for a caller that doesn't read its response.
	private void cutOff() {
		this.owner.shed(Cause.MEMORY);
		this.context.close();
	}

	private long headArrivedAt() {
		return this.decoder.map((used) -> this.arrivalTimes.decoded(used.waitingBytes()))
			.orElseGet(OptionalLong::empty)
			.orElseGet(this::earliestArrival);
	}

	// If the sockets were not polled since the connection was accepted, the request may
	// have been waiting in it for as long as the connection in the accept queue.
	private long earliestArrival() {
		long earliest = this.timers.earliestArrival();
		return (earliest <= this.acceptedAt) ? Math.min(earliest, this.earliestOpen) : earliest;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.responding) {
			this.owner.readingChanged(this, ctx.channel().isWritable());
			this.listener.onWritabilityChanged(this.exchange, ctx.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		cancelTimer();
		releaseHeld();
		this.output.clear();
		if (this.responding) {
			this.responding = false;
			this.listener.onDisconnect(this.exchange);
		}
		this.closing = true;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// Connection reset by the caller; channelInactive notifies the listener.
		ctx.close();
	}

	private void process(Object message) {
		if (message instanceof HttpRequest head) {
			beginRequest(head);
		}
		if (message instanceof HttpContent content) {
			addContent(content);
		}
	}

	private void beginRequest(HttpRequest received) {
		if (received.decoderResult().isFailure()) {
			reject(statusFor(received.decoderResult().cause()));
			return;
		}
		if (!holdDecoded(HEAD_BYTES + received.uri().length())) {
			reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
			return;
		}
		// The path is decoded and encoded by different character sets.
		if (!isTransferEncodingSupported(received)
				|| !StandardCharsets.US_ASCII.newEncoder().canEncode(received.uri())) {
			reject(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		this.request = Optional.of(received);
		this.body = new BodyBuffer(announcedLength(received));
		startTimer(this.limits.get().idleTimeout());
		if (HttpUtil.getContentLength(received, 0L) > this.limits.get().maxBodyBytes()) {
			reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (HttpUtil.is100ContinueExpected(received)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	// The decoder takes a list that has "chunked" in it for a chunked body, and any other
	// coding for none, so that the body would be read as the next request.
	private static boolean isTransferEncodingSupported(HttpRequest received) {
		List<String> codings = received.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		return codings.isEmpty()
				|| (codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst()));
	}

	// A longer body is refused before any of it is held.
	private static OptionalInt announcedLength(HttpRequest received) {
		int length = HttpUtil.getContentLength(received, -1);
		return (length >= 0) ? OptionalInt.of(length) : OptionalInt.empty();
	}

	private void addContent(HttpContent content) {
		ByteBuf bytes = content.content();
		try {
			if (this.closing || this.request.isEmpty()) {
				return;
			}
			if (content.decoderResult().isFailure()) {
				reject(statusFor(content.decoderResult().cause()));
				return;
			}
			if (this.body.size() + bytes.readableBytes() > this.limits.get().maxBodyBytes()) {
				reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
				return;
			}
			this.body.append(bytes);
			if (!holdInput()) {
				reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
				return;
			}
			if (content instanceof LastHttpContent) {
				completeRequest();
			}
		}
		finally {
			content.release();
		}
	}

	private void completeRequest() {
		HttpRequest completed = this.request.orElseThrow();
		this.request = Optional.empty();
		cancelTimer();
		long size = this.decodedBytes + (long) this.body.size();
		byte[] content = this.body.toBytes();
		clearInput();
		if (!this.heldBytes.tryAccept(size)) {
			reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
			return;
		}
		this.accepted = size;
		this.responding = true;
		this.owner.requestAccepted(this);
		this.supportsChunked = completed.protocolVersion().isKeepAliveDefault();
		this.headRequest = completed.method().equals(HttpMethod.HEAD);
		this.closeAfterResponse = this.closeAfterResponse || !HttpUtil.isKeepAlive(completed);
		this.exchange = this.listener.onRequest(this, completed, content, this.headReadAt);
	}

	private void clearInput() {
		this.decodedBytes = 0;
		this.body = new BodyBuffer(OptionalInt.empty());
		this.input.clear();
	}

	private void releaseHeld() {
		clearInput();
		this.heldBytes.releaseAccepted(this.accepted);
		this.accepted = 0;
		this.heldBytes.release(this.held);
		this.held = 0;
	}

	private void responseSent() {
		releaseHeld();
		this.responding = false;
		if (this.closeAfterResponse || !this.context.channel().isActive()) {
			this.closing = true;
			this.context.close();
			return;
		}
		startTimer(this.limits.get().idleTimeout());
		this.owner.responseSent(this);
		this.context.channel().config().setAutoRead(true);
		decodeNext();
	}

	private void decodeNext() {
		if (this.decoder.isEmpty()) {
			return;
		}
		try {
			this.decoder.get().resume(this.context.pipeline().context(this.decoder.get()));
		}
		catch (Exception ex) {
			this.context.fireExceptionCaught(ex);
			this.context.close();
		}
	}

	private void reject(HttpResponseStatus status) {
		this.closing = true;
		cancelTimer();
		releaseHeld();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			this.owner.shed(Cause.MEMORY);
			response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
		}
		HttpUtil.setContentLength(response, 0);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private static HttpResponseStatus statusFor(Throwable cause) {
		if (cause instanceof CountedHeaders.NoRoomException) {
			return HttpResponseStatus.SERVICE_UNAVAILABLE;
		}
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		return HttpResponseStatus.BAD_REQUEST;
	}

	private void setConnectionHeader(HttpResponse response) {
		this.closeAfterResponse = this.closeAfterResponse || this.draining.getAsBoolean();
		if (this.closeAfterResponse) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private static boolean mayHaveBody(HttpResponse response) {
		int status = response.status().code();
		return status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
	}

	private static void copyHeaders(ResponseHead head, HttpResponse response) {
		for (Header header : head.headers()) {
			response.headers().add(header.name(), header.value());
		}
	}

	private void startTimer(Duration timeout) {
		cancelTimer();
		this.timer = Optional
			.of(this.context.executor().schedule(this::onTimeout, timeout.toMillis(), TimeUnit.MILLISECONDS));
	}

	private void onTimeout() {
		if (this.responding) {
			return;
		}
		if (this.request.isPresent()) {
			reject(HttpResponseStatus.REQUEST_TIMEOUT);
			return;
		}
		this.closing = true;
		this.context.close();
	}

	private void cancelTimer() {
		this.timer.ifPresent((pending) -> pending.cancel(false));
		this.timer = Optional.empty();
	}

	/**
	 * Receives state changes of a connection. Used by the event loop's thread.
	 */
	interface Owner {

		/**
		 * Called when a request was received completely and is passed on.
		 * @param connection the connection
		 */
		void requestAccepted(CallerConnection connection);

		/**
		 * Called when the response was sent and the connection stays open.
		 * @param connection the connection
		 */
		void responseSent(CallerConnection connection);

		/**
		 * Called when a caller stops reading its response, or goes on.
		 * @param connection the connection
		 * @param reading whether it reads
		 */
		void readingChanged(CallerConnection connection, boolean reading);

		/**
		 * Called when a request is refused, or a connection closed, for lack of a
		 * resource.
		 * @param cause the resource
		 */
		void shed(Cause cause);

	}

}
