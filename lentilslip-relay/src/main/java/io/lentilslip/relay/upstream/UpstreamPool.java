package io.lentilslip.relay.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * The connections to one life of an upstream. A connection that was idle for nearly as
 * long as its upstream keeps it is not used again: its close could cross a request, which
 * then may or may not have run. Used by the event loop's thread.
 */
final class UpstreamPool {

	/**
	 * How long a new connection may take. Within a region one takes a few milliseconds;
	 * one whose first packet was dropped takes a second, and another upstream is sooner.
	 */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

	/**
	 * How long before the upstream's own time an idle connection is given up: more than
	 * the way there and a slow moment of this process.
	 */
	private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);

	/**
	 * How long a connection may be idle whose upstream does not say.
	 */
	private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMillis(2500);

	private static final int MAX_IDLE_CONNECTIONS = 64;

	private final EventLoop loop;

	private final String incarnationId;

	private final InetSocketAddress address;

	private final Dialect dialect;

	private final Timers timers;

	private final Deque<IdleConnection> idle = new ArrayDeque<>();

	UpstreamPool(EventLoop loop, Upstream upstream, Dialect dialect, Timers timers) {
		this.loop = loop;
		this.incarnationId = upstream.incarnationId();
		this.address = new InetSocketAddress(upstream.host(), upstream.port());
		this.dialect = dialect;
		this.timers = timers;
	}

	/**
	 * Sends a request on an idle connection, or a new one.
	 * @param outgoing the request
	 * @return what gives up the attempt
	 */
	Attempt send(UpstreamConnection.OutgoingRequest outgoing) {
		Attempt attempt = new Attempt();
		Optional<UpstreamConnection> reused = acquire();
		if (reused.isPresent()) {
			attempt.connection = reused;
			reused.get().send(outgoing);
			return attempt;
		}
		connect(outgoing, attempt);
		return attempt;
	}

	/**
	 * Returns to which life of the upstream the connections lead.
	 * @return the name of the life
	 */
	String incarnationId() {
		return this.incarnationId;
	}

	void close() {
		while (!this.idle.isEmpty()) {
			this.idle.pollFirst().connection().cancel();
		}
	}

	private Optional<UpstreamConnection> acquire() {
		long now = this.timers.now();
		while (!this.idle.isEmpty()) {
			IdleConnection next = this.idle.pollFirst();
			if (next.expiresAt() > now && next.connection().isReusable()) {
				return Optional.of(next.connection());
			}
			next.connection().cancel();
		}
		return Optional.empty();
	}

	private void connect(UpstreamConnection.OutgoingRequest outgoing, Attempt attempt) {
		UpstreamConnection connection = new UpstreamConnection(this.dialect, new IdleConnectionListener());
		ChannelFuture future = Sockets.connect(this.loop, this.address, CONNECT_TIMEOUT, (created) -> created.pipeline()
			.addLast(new HttpRequestEncoder(), new ResponseDecoder(connection), connection));
		future.addListener((done) -> {
			if (attempt.cancelled) {
				future.channel().close();
				outgoing.release();
				return;
			}
			if (!done.isSuccess()) {
				outgoing.release();
				outgoing.listener().onFailure(FailureCause.NOT_CONNECTED);
				return;
			}
			attempt.connection = Optional.of(connection);
			connection.send(outgoing);
		});
	}

	/**
	 * Keeps connections for later use. Used by the event loop's thread.
	 */
	private final class IdleConnectionListener implements UpstreamConnection.Listener {

		@Override
		public void onIdle(UpstreamConnection connection) {
			Duration timeout = connection.keepAliveTimeout()
				.map((known) -> known.minus(IDLE_TIMEOUT_MARGIN))
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

	}

	/**
	 * An idle connection. Immutable.
	 *
	 * @param connection the connection
	 * @param until when it is given up
	 */
	private record IdleConnection(UpstreamConnection connection, long expiresAt) {

	}

	/**
	 * Reads answers, and knows that the answer to some requests has no body whatever its
	 * headers say. Used by one connection.
	 */
	private static final class ResponseDecoder extends HttpResponseDecoder {

		private final UpstreamConnection connection;

		ResponseDecoder(UpstreamConnection connection) {
			this.connection = connection;
		}

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return this.connection.expectsNoBody() || super.isContentAlwaysEmpty(message);
		}

	}

	/**
	 * One attempt, which can be given up. Used by the event loop's thread.
	 */
	static final class Attempt {

		private Optional<UpstreamConnection> connection = Optional.empty();

		private boolean cancelled;

		void cancel() {
			this.cancelled = true;
			this.connection.ifPresent(UpstreamConnection::cancel);
		}

	}

}
