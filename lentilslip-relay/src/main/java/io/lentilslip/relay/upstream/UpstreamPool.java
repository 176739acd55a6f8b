package io.lentilslip.relay.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.measurement.Measurement.ResponseUnmatched.Kind;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.http.InvalidPart;
import io.lentilslip.relay.http.StrictResponseDecoder;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.store.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Pool of connections to one incarnation of an upstream. A connection expires shortly
 * before the upstream's keep-alive timeout: if the upstream closed it while a request was
 * being sent, it would be unknown whether the request ran. Used by the event loop's
 * thread.
 */
final class UpstreamPool {

	/**
	 * The connect timeout. Shorter than a TCP retransmission, since retrying on another
	 * upstream is faster.
	 */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * How long before the upstream's keep-alive timeout an idle connection expires.
	 * Covers the network latency and pauses of this process.
	 */
	private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);

	/**
	 * The idle timeout of connections to upstreams that announce no keep-alive timeout.
	 */
	private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMillis(2500);

	/**
	 * The maximum time for which an idle connection is kept, whatever the upstream
	 * announces. Keeps odd values out of the arithmetic.
	 */
	private static final Duration MAX_IDLE_TIMEOUT = Duration.ofHours(1);

	private static final int MAX_IDLE_CONNECTIONS = 64;

	private final EventLoop loop;

	private final String upstreamId;

	private final String incarnationId;

	private final InetSocketAddress address;

	private final Dialect dialect;

	private final Timers timers;

	private final HeldBytes heldBytes;

	private final ResponseProblemListener problems;

	private final Deque<IdleConnection> idle = new ArrayDeque<>();

	private final UpstreamConnection.Listener connectionListener = new IdleConnectionListener();

	/**
	 * The keep-alive timeout that the upstream last announced. Applies to connections
	 * without a response as well.
	 */
	private Optional<Duration> announcedTimeout = Optional.empty();

	UpstreamPool(EventLoop loop, Upstream upstream, Dialect dialect, Timers timers, HeldBytes heldBytes,
			ResponseProblemListener problems) {
		this.loop = loop;
		this.upstreamId = upstream.id();
		this.incarnationId = upstream.incarnationId();
		this.address = new InetSocketAddress(upstream.host(), upstream.port());
		this.dialect = dialect;
		this.timers = timers;
		this.heldBytes = heldBytes;
		this.problems = problems;
	}

	/**
	 * Sends a request on an idle connection or a new one.
	 * @param outgoing the request
	 * @param attempt the attempt, which may be cancelled at any time
	 */
	void send(UpstreamConnection.OutgoingRequest outgoing, Attempt attempt) {
		if (isExpired(outgoing)) {
			expire(outgoing);
			return;
		}
		acquire(outgoing).ifPresentOrElse((reused) -> write(outgoing, reused, attempt),
				() -> connect(outgoing, attempt));
	}

	private boolean isExpired(UpstreamConnection.OutgoingRequest outgoing) {
		return outgoing.deadline() <= this.timers.now();
	}

	private static void expire(UpstreamConnection.OutgoingRequest outgoing) {
		outgoing.listener().onFailure(FailureCause.EXPIRED);
	}

	private static void write(UpstreamConnection.OutgoingRequest outgoing, UpstreamConnection connection,
			Attempt attempt) {
		attempt.connection = Optional.of(connection);
		connection.send(outgoing);
	}

	/**
	 * Returns the incarnation of the upstream.
	 * @return the incarnation id
	 */
	String incarnationId() {
		return this.incarnationId;
	}

	void close() {
		while (!this.idle.isEmpty()) {
			this.idle.pollFirst().connection().cancel();
		}
	}

	private Optional<UpstreamConnection> acquire(UpstreamConnection.OutgoingRequest outgoing) {
		long now = this.timers.now();
		Deque<IdleConnection> unsuitable = new ArrayDeque<>();
		Optional<UpstreamConnection> found = Optional.empty();
		while (found.isEmpty() && !this.idle.isEmpty()) {
			IdleConnection next = this.idle.pollFirst();
			if (next.expiresAt() <= now || !next.connection().isReusable()) {
				next.connection().cancel();
			}
			else if (next.connection().mayCarry(outgoing)) {
				found = Optional.of(next.connection());
			}
			else {
				unsuitable.addFirst(next);
			}
		}
		if (found.isEmpty() && !unsuitable.isEmpty()) {
			// The new connection takes its place: the upstream limits their number.
			unsuitable.pollFirst().connection().cancel();
		}
		unsuitable.forEach(this.idle::addFirst);
		return found;
	}

	private static Duration idleTimeout(Duration announced) {
		if (announced.isNegative()) {
			return announced;
		}
		return (announced.compareTo(MAX_IDLE_TIMEOUT) > 0) ? MAX_IDLE_TIMEOUT : announced.minus(IDLE_TIMEOUT_MARGIN);
	}

	private void connect(UpstreamConnection.OutgoingRequest outgoing, Attempt attempt) {
		UpstreamConnection connection = new UpstreamConnection(this.dialect, this.connectionListener, this.heldBytes);
		ChannelFuture future = Sockets.connect(this.loop, this.address, CONNECT_TIMEOUT, (created) -> {
			Sockets.reportOrderlyEnd(created);
			created.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder(connection), connection);
		});
		future.addListener((done) -> {
			if (attempt.cancelled) {
				future.channel().close();
				return;
			}
			if (!done.isSuccess()) {
				outgoing.listener().onFailure(FailureCause.NOT_CONNECTED);
				return;
			}
			if (isExpired(outgoing)) {
				this.connectionListener.onIdle(connection);
				expire(outgoing);
				return;
			}
			write(outgoing, connection, attempt);
		});
	}

	/**
	 * Returns idle connections to the pool, removes closed ones and reports unmatched
	 * data. Used by the event loop's thread.
	 */
	private final class IdleConnectionListener implements UpstreamConnection.Listener {

		@Override
		public void onIdle(UpstreamConnection connection) {
			UpstreamPool.this.announcedTimeout = connection.keepAliveTimeout()
				.or(() -> UpstreamPool.this.announcedTimeout);
			Duration timeout = UpstreamPool.this.announcedTimeout.map(UpstreamPool::idleTimeout)
				.orElse(DEFAULT_IDLE_TIMEOUT);
			if (timeout.isNegative() || UpstreamPool.this.idle.size() >= MAX_IDLE_CONNECTIONS) {
				connection.cancel();
				return;
			}
			long expiresAt = UpstreamPool.this.timers.now() + timeout.toMillis();
			UpstreamPool.this.idle.addFirst(new IdleConnection(connection, expiresAt));
		}

		@Override
		public void onClosed(UpstreamConnection connection) {
			UpstreamPool.this.idle.removeIf((kept) -> kept.connection() == connection);
		}

		@Override
		public void onUnmatched(Kind kind, Optional<String> named, OptionalInt status, CarriedRequests carried) {
			UpstreamPool.this.problems.onUnmatched(new UnmatchedResponse(kind, UpstreamPool.this.upstreamId, named,
					carried.last(), status, carried.count()));
		}

		@Override
		public void onInvalid(String request, InvalidPart part) {
			UpstreamPool.this.problems.onInvalid(UpstreamPool.this.upstreamId, request, part);
		}

	}

	/**
	 * An idle connection. Immutable.
	 *
	 * @param connection the connection
	 * @param expiresAt the time from which it is not reused, in milliseconds
	 */
	private record IdleConnection(UpstreamConnection connection, long expiresAt) {

	}

	/**
	 * Response decoder that expects no body in responses to HEAD requests and decodes
	 * only bytes that the connection accepts. Used by one connection.
	 */
	private static final class ResponseDecoder extends StrictResponseDecoder {

		private final UpstreamConnection connection;

		ResponseDecoder(UpstreamConnection connection) {
			this.connection = connection;
			connection.setUnreadBytes(this::internalBuffer);
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			if (message instanceof ByteBuf bytes && !this.connection.accept(bytes)) {
				bytes.release();
				return;
			}
			super.channelRead(ctx, message);
		}

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return this.connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
		}

	}

	/**
	 * An attempt that can be cancelled. Used by the event loop's thread.
	 */
	static final class Attempt {

		private Optional<UpstreamConnection> connection = Optional.empty();

		private boolean cancelled;

		/**
		 * Pauses or resumes reading the response, if the request was sent.
		 * @param reading whether to read
		 */
		void setReading(boolean reading) {
			this.connection.ifPresent((sent) -> sent.setReading(reading));
		}

		void cancel() {
			this.cancelled = true;
			this.connection.ifPresent(UpstreamConnection::cancel);
		}

	}

}
