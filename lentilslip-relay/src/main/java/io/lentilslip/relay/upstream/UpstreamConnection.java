package io.lentilslip.relay.upstream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.lentilslip.core.measurement.Measurement.ResponseUnmatched.Kind;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.http.InvalidPart;
import io.lentilslip.relay.http.StrictResponseDecoder;
import io.lentilslip.relay.net.HeldBytes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Connection to an upstream with at most one attempt in flight. The connection is reused
 * only after a complete response that matched the attempt and had no trailing data. A
 * response to another request is skipped, since an upstream may send it late. An id
 * identifies a request, not an attempt, so a connection carries each id once: a response
 * with the id of the attempt is a response to the attempt. Used by the event loop's
 * thread.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The number of responses to requests that the connection has not carried to skip
	 * before it is closed.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 2;

	/**
	 * The maximum number of informational responses to one request.
	 */
	private static final int MAX_INFORMATIONAL_RESPONSES = 16;

	/**
	 * The maximum number of bytes that are read without progress: without a response
	 * head, a part of a body or an event that is passed on. At least as large as an
	 * event.
	 */
	private static final int MAX_UNPRODUCTIVE_BYTES = 1024 * 1024 + 64 * 1024;

	/**
	 * The maximum size of the body of a non-streaming response, in bytes.
	 */
	private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

	/**
	 * The size up to which a body is read while the process holds too much.
	 */
	private static final int SMALL_RESPONSE_BYTES = 64 * 1024;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})");

	private static final int STATUS_LINE_LENGTH = "HTTP/1.1 200".length();

	private final Dialect dialect;

	private final Listener listener;

	private final HeldBytes heldBytes;

	private Optional<OutgoingRequest> current = Optional.empty();

	private Optional<HttpResponse> head = Optional.empty();

	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	private long held;

	private Optional<EventParser> eventParser = Optional.empty();

	private Optional<ChannelFuture> writeFuture = Optional.empty();

	/**
	 * Whether an event of the current response was passed on.
	 */
	private boolean eventForwarded;

	private boolean skipping;

	private boolean skippingRepeated;

	/**
	 * The bytes of the bodies of late responses since the request was sent.
	 */
	private long repeatedBytes;

	private int skippedResponses;

	private int informationalResponses;

	private long unproductiveBytes;

	private Supplier<ByteBuf> unreadBytes = () -> Unpooled.EMPTY_BUFFER;

	private final CarriedRequests carried = new CarriedRequests();

	private ChannelHandlerContext context;

	private Optional<Duration> keepAliveTimeout = Optional.empty();

	UpstreamConnection(Dialect dialect, Listener listener, HeldBytes heldBytes) {
		this.dialect = dialect;
		this.listener = listener;
		this.heldBytes = heldBytes;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	void send(OutgoingRequest outgoing) {
		this.current = Optional.of(outgoing);
		this.carried.add(outgoing.id(), outgoing.method());
		this.head = Optional.empty();
		this.skippedResponses = 0;
		this.informationalResponses = 0;
		this.unproductiveBytes = 0;
		this.repeatedBytes = 0;
		// The end of the previous response may have been read together with the data that
		// paused the reading.
		setReading(true);
		outgoing.listener().onWritten();
		this.writeFuture = Optional.of(this.context.writeAndFlush(outgoing.message().get()));
	}

	/**
	 * Sets what returns the bytes that the decoder has not decoded yet.
	 * @param decoderBytes the supplier
	 */
	void setUnreadBytes(Supplier<ByteBuf> decoderBytes) {
		this.unreadBytes = decoderBytes;
	}

	/**
	 * Checks bytes that were received before they are decoded. A faulty upstream may send
	 * bytes without end, of which the decoder may make nothing.
	 * @param bytes the bytes
	 * @return whether they may be decoded
	 */
	boolean accept(ByteBuf bytes) {
		if (this.current.isEmpty()) {
			// Unsolicited data: the framing of later responses can't be trusted.
			report(Kind.IDLE, namedBy(bytes), statusOf(bytes));
			this.context.close();
			return false;
		}
		this.unproductiveBytes += bytes.readableBytes();
		if (this.unproductiveBytes > MAX_UNPRODUCTIVE_BYTES) {
			fail(FailureCause.UNREADABLE);
			return false;
		}
		return true;
	}

	void setReading(boolean reading) {
		this.context.channel().config().setAutoRead(reading);
	}

	boolean isReusable() {
		return this.current.isEmpty() && this.context.channel().isActive();
	}

	/**
	 * Returns whether a late response to an earlier request can't be taken for the
	 * response to the given one.
	 * @param outgoing the request
	 * @return whether the connection may carry it
	 */
	boolean mayCarry(OutgoingRequest outgoing) {
		return this.carried.isDistinctFrom(outgoing.id(), outgoing.method());
	}

	boolean expectsNoBody() {
		return this.current.isPresent() && this.current.get().method().equals(HttpMethod.HEAD);
	}

	Optional<Duration> keepAliveTimeout() {
		return this.keepAliveTimeout;
	}

	/**
	 * Cancels the attempt by closing the connection, so that the upstream stops working
	 * on it.
	 */
	void cancel() {
		this.current = Optional.empty();
		releaseResponse();
		this.context.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.current.isEmpty()) {
				// Unsolicited data: the framing of later responses can't be trusted.
				ctx.close();
				return;
			}
			if (message instanceof HttpResponse response) {
				beginResponse(response);
			}
			if (message instanceof HttpContent content && this.current.isPresent()) {
				addContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof ChannelInputShutdownEvent) {
			fail(FailureCause.BROKEN);
			ctx.close();
		}
		super.userEventTriggered(ctx, event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.listener.onClosed(this);
		fail(FailureCause.BROKEN);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail((cause instanceof IOException) ? FailureCause.BROKEN : FailureCause.UNREADABLE);
		ctx.close();
	}

	private void beginResponse(HttpResponse response) {
		if (response.decoderResult().isFailure()) {
			StrictResponseDecoder.invalidPart(response)
				.ifPresent((part) -> this.listener.onInvalid(this.current.orElseThrow().id(), part));
			boolean closed = response.decoderResult().cause() instanceof PrematureChannelClosureException;
			fail(closed ? FailureCause.BROKEN : FailureCause.UNREADABLE);
			return;
		}
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skipping = true;
			this.skippingRepeated = false;
			this.informationalResponses++;
			if (this.informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
				fail(FailureCause.UNREADABLE);
			}
			return;
		}
		OutgoingRequest outgoing = this.current.orElseThrow();
		if (!this.dialect.isResponseTo(response, outgoing.id())) {
			skipResponse(response);
			return;
		}
		if (!expectsNoBody() && HttpUtil.getContentLength(response, 0L) > MAX_RESPONSE_BYTES) {
			fail(FailureCause.UNREADABLE);
			return;
		}
		this.skipping = false;
		this.unproductiveBytes = 0;
		this.head = Optional.of(response);
		this.eventForwarded = false;
		boolean stream = outgoing.stream() && response.status().equals(HttpResponseStatus.OK);
		this.eventParser = stream ? Optional.of(new EventParser()) : Optional.empty();
		if (stream) {
			outgoing.listener().onStreamStart(this.dialect.decodeResponse(response));
		}
	}

	private void skipResponse(HttpResponse response) {
		Optional<String> named = this.dialect.requestId(response);
		Kind other = named.map((id) -> this.carried.contains(id) ? Kind.REPEATED : Kind.OTHER_REQUEST)
			.orElse(Kind.NO_REQUEST);
		report(other, named, OptionalInt.of(response.status().code()));
		this.skipping = true;
		this.skippingRepeated = other == Kind.REPEATED;
		// Late responses to several requests may arrive at once; bytes without progress
		// are bounded.
		this.skippedResponses += (other == Kind.REPEATED) ? 0 : 1;
		if (this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail(FailureCause.UNREADABLE);
		}
	}

	private void report(Kind kind, Optional<String> named, OptionalInt status) {
		this.listener.onUnmatched(kind, named, status, this.carried);
	}

	private static OptionalInt statusOf(ByteBuf bytes) {
		Matcher line = STATUS_LINE.matcher(bytes.toString(bytes.readerIndex(),
				Math.min(bytes.readableBytes(), STATUS_LINE_LENGTH), StandardCharsets.ISO_8859_1));
		return line.matches() ? OptionalInt.of(Integer.parseInt(line.group(1))) : OptionalInt.empty();
	}

	// The bytes may be a part of a response, or none.
	private Optional<String> namedBy(ByteBuf bytes) {
		EmbeddedChannel decoding = new EmbeddedChannel(new StrictResponseDecoder());
		try {
			decoding.writeInbound(bytes.retainedDuplicate());
			return Optional.ofNullable(decoding.<HttpResponse>readInbound())
				.filter((response) -> response.decoderResult().isSuccess())
				.flatMap(this.dialect::requestId);
		}
		finally {
			decoding.finishAndReleaseAll();
		}
	}

	private void addContent(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			fail(FailureCause.UNREADABLE);
			return;
		}
		if (this.skipping) {
			skipContent(content.content().readableBytes());
		}
		else {
			consume(content.content());
		}
		if (content instanceof LastHttpContent && this.current.isPresent() && !this.skipping) {
			if (endedByClose() || lacksContent()) {
				fail(FailureCause.BROKEN);
				return;
			}
			completeResponse();
		}
	}

	// A late response may be as large as any other; together they have the same bound.
	private void skipContent(int bytes) {
		if (this.skippingRepeated && this.repeatedBytes + bytes <= MAX_RESPONSE_BYTES) {
			this.repeatedBytes += bytes;
			this.unproductiveBytes -= bytes;
		}
	}

	// The decoder ends a response without a length however the connection ends. A failed
	// write after a reset closes the channel before a read could fail, so only an orderly
	// end, after which the channel is still active, shows that nothing is missing. An
	// upstream that ends while the request is being written may have been about to reset
	// the connection, since it leaves bytes unread.
	private boolean endedByClose() {
		return !isFramed(this.head.orElseThrow()) && (!this.context.channel().isActive() || !isRequestWritten());
	}

	private boolean isRequestWritten() {
		return this.writeFuture.map(ChannelFuture::isSuccess).orElse(false);
	}

	// An upstream that stops after the head of a response without a length ends its
	// connection as one whose response is empty. Only content shows that it went on.
	private boolean lacksContent() {
		HttpResponse response = this.head.orElseThrow();
		boolean contentExpected = response.status().codeClass() == HttpStatusClass.SUCCESS
				&& !response.status().equals(HttpResponseStatus.NO_CONTENT) && !expectsNoBody();
		return contentExpected && !isFramed(response) && !this.eventForwarded && this.body.size() == 0;
	}

	private static boolean isFramed(HttpResponse response) {
		return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
	}

	private void consume(ByteBuf bytes) {
		OutgoingRequest outgoing = this.current.orElseThrow();
		if (this.eventParser.isPresent()) {
			consumeEvents(outgoing, this.eventParser.get(), bytes);
			return;
		}
		if (this.body.size() + bytes.readableBytes() > MAX_RESPONSE_BYTES
				|| !hold(this.body.size() + bytes.readableBytes())) {
			fail(FailureCause.UNREADABLE);
			return;
		}
		this.unproductiveBytes = 0;
		this.body.writeBytes(ByteBufUtil.getBytes(bytes));
	}

	private void consumeEvents(OutgoingRequest outgoing, EventParser parser, ByteBuf bytes) {
		boolean valid = parser.read(bytes, (number, raw, data) -> forward(outgoing, number, raw, data));
		// An event may have ended the attempt.
		if (this.current.isPresent() && !(valid && hold(parser.partialBytes()))) {
			fail(FailureCause.UNREADABLE);
		}
	}

	/**
	 * Holds what is kept of the response: its body, or the event that is not complete.
	 * @param bytes the number of bytes
	 * @return whether they are held
	 */
	private boolean hold(int bytes) {
		long more = bytes - this.held;
		if (more <= 0 || bytes <= SMALL_RESPONSE_BYTES) {
			this.heldBytes.holdIncomplete(more);
		}
		else if (!this.heldBytes.tryHoldIncomplete(more)) {
			return false;
		}
		this.held = bytes;
		return true;
	}

	private void releaseResponse() {
		this.heldBytes.releaseIncomplete(this.held);
		this.held = 0;
		this.body = new ByteArrayOutputStream();
		this.eventParser = Optional.empty();
	}

	private void forward(OutgoingRequest outgoing, long number, byte[] raw, byte[] data) {
		this.unproductiveBytes = 0;
		this.eventForwarded = true;
		outgoing.listener().onEvent(number, raw, data);
	}

	private void completeResponse() {
		OutgoingRequest outgoing = this.current.orElseThrow();
		HttpResponse response = this.head.orElseThrow();
		boolean stream = this.eventParser.isPresent();
		if (stream && this.eventParser.get().partialBytes() > 0) {
			fail(FailureCause.BROKEN);
			return;
		}
		this.current = Optional.empty();
		byte[] whole = this.body.toByteArray();
		releaseResponse();
		returnToPool(response);
		if (stream) {
			outgoing.listener().onStreamEnd();
			return;
		}
		outgoing.listener().onResponse(this.dialect.decodeResponse(response), whole);
	}

	private void returnToPool(HttpResponse response) {
		ByteBuf unread = this.unreadBytes.get();
		if (unread.isReadable()) {
			report(Kind.AFTER_RESPONSE, namedBy(unread), statusOf(unread));
		}
		// If the request is not fully written, the upstream would read the next request
		// as the rest of its body. Bytes that follow the response belong to no request.
		if (!isFramed(response) || !isRequestWritten() || unread.isReadable() || !HttpUtil.isKeepAlive(response)
				|| this.carried.isFull() || response.headers().contains(HttpHeaderNames.UPGRADE)) {
			this.context.close();
			return;
		}
		this.keepAliveTimeout = this.dialect.keepAliveTimeout(response);
		this.listener.onIdle(this);
	}

	private void fail(FailureCause cause) {
		if (this.current.isEmpty()) {
			return;
		}
		OutgoingRequest outgoing = this.current.get();
		this.current = Optional.empty();
		releaseResponse();
		this.context.close();
		outgoing.listener().onFailure(cause);
	}

	/**
	 * A request to an upstream. Immutable.
	 *
	 * @param id the request id that the response must carry
	 * @param method the method
	 * @param message creates the message when it is written: the time that the upstream
	 * has is known only then, and until then the lines of the head are not held twice
	 * @param deadline the time at which the caller stops waiting, in milliseconds of the
	 * monotonic clock
	 * @param stream whether a successful response is streamed
	 * @param listener receives the outcome
	 */
	record OutgoingRequest(String id, HttpMethod method, Supplier<DefaultFullHttpRequest> message, long deadline,
			boolean stream, AttemptListener listener) {

	}

	/**
	 * Receives state changes of a connection. Used by the event loop's thread.
	 */
	interface Listener {

		/**
		 * Called when the connection can be reused.
		 * @param connection the connection
		 */
		void onIdle(UpstreamConnection connection);

		/**
		 * Called when the connection is closed.
		 * @param connection the connection
		 */
		void onClosed(UpstreamConnection connection);

		/**
		 * Called when the upstream has sent data that belongs to no request in flight.
		 * @param kind the kind of data
		 * @param named the id of the request that the data names
		 * @param status the status code, if the data begins with one
		 * @param carried the requests that the connection has carried
		 */
		void onUnmatched(Kind kind, Optional<String> named, OptionalInt status, CarriedRequests carried);

		/**
		 * Called when the upstream has sent a response that is not valid.
		 * @param request the id of the request in flight
		 * @param part the first part that is not valid
		 */
		default void onInvalid(String request, InvalidPart part) {
		}

	}

}
