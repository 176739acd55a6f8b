package io.lentilslip.relay.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.store.Timers;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Sends requests to upstreams and cancels attempts. Connections are pooled by
 * incarnation, so that none is reused for another incarnation at the same address. Used
 * by the event loop's thread.
 */
public final class UpstreamClient {

	private final EventLoop loop;

	private final Dialect dialect;

	private final Timers timers;

	private final HeldBytes heldBytes;

	private final ResponseProblemListener problems;

	private final Map<String, UpstreamPool> pools = new HashMap<>();

	private final Map<AttemptKey, UpstreamPool.Attempt> attempts = new HashMap<>();

	/**
	 * Creates a client without connections.
	 * @param loop the event loop
	 * @param dialect the upstreams' header names and formats
	 * @param timers the clock
	 * @param heldBytes bounds the bytes of responses that are not complete
	 * @param problems receives what upstreams send that is not passed on
	 */
	public UpstreamClient(EventLoop loop, Dialect dialect, Timers timers, HeldBytes heldBytes,
			ResponseProblemListener problems) {
		this.loop = loop;
		this.dialect = dialect;
		this.timers = timers;
		this.heldBytes = heldBytes;
		this.problems = problems;
	}

	/**
	 * Sends a request.
	 * @param send the upstream, and the prefix of the request body
	 * @param id the request id
	 * @param request the caller's request
	 * @param body the body of the caller's request
	 * @param listener receives the outcome
	 */
	public void send(RelayEffect.SendRequest send, String id, HttpRequest request, byte[] body,
			AttemptListener listener) {
		AttemptKey key = new AttemptKey(send.exchange(), send.attempt());
		UpstreamPool.Attempt attempt = new UpstreamPool.Attempt();
		// An attempt may fail before the call returns.
		this.attempts.put(key, attempt);
		pool(send.upstream()).send(new UpstreamConnection.OutgoingRequest(id, request.method(),
				() -> message(send, request, body), send.deadline(), send.stream(), new AttemptTracker(key, listener)),
				attempt);
	}

	private DefaultFullHttpRequest message(RelayEffect.SendRequest send, HttpRequest request, byte[] body) {
		DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
				request.uri(), Unpooled.wrappedBuffer(send.prefix(), body));
		this.dialect.writeUpstreamHeaders(request, send, message.headers());
		if (body.length > 0 || send.prefix().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			HttpUtil.setContentLength(message, message.content().readableBytes());
		}
		this.dialect.writeTimeout(Duration.ofMillis(send.deadline() - this.timers.now()), message.headers());
		return message;
	}

	/**
	 * Connects to an upstream without sending a request.
	 * @param upstream the upstream
	 * @param listener receives whether the upstream refused the connection
	 */
	public void probe(Upstream upstream, Consumer<Boolean> listener) {
		InetSocketAddress address = new InetSocketAddress(upstream.host(), upstream.port());
		ChannelFuture future = Sockets.connect(this.loop, address, UpstreamPool.CONNECT_TIMEOUT, (created) -> {
		});
		future.addListener((done) -> {
			future.channel().close();
			listener
				.accept(done.cause() instanceof ConnectException && !(done.cause() instanceof ConnectTimeoutException));
		});
	}

	/**
	 * Cancels an attempt. Has no effect if the attempt has completed.
	 * @param exchange the exchange
	 * @param attempt the attempt number
	 */
	public void cancel(long exchange, int attempt) {
		UpstreamPool.Attempt active = this.attempts.remove(new AttemptKey(exchange, attempt));
		if (active != null) {
			active.cancel();
		}
	}

	/**
	 * Pauses or resumes reading the response of the current attempt of an exchange.
	 * @param exchange the exchange
	 * @param reading whether to read
	 */
	public void setReading(long exchange, boolean reading) {
		this.attempts.forEach((key, attempt) -> {
			if (key.exchange() == exchange) {
				attempt.setReading(reading);
			}
		});
	}

	/**
	 * Closes the idle connections to an upstream that was removed.
	 * @param upstream the id of the upstream
	 */
	public void removeUpstream(String upstream) {
		UpstreamPool pool = this.pools.remove(upstream);
		if (pool != null) {
			pool.close();
		}
	}

	/**
	 * Closes the idle connections to all upstreams but the given ones.
	 * @param upstreams the ids of the upstreams to retain
	 */
	public void retainUpstreams(Set<String> upstreams) {
		List.copyOf(this.pools.keySet()).stream().filter((id) -> !upstreams.contains(id)).forEach(this::removeUpstream);
	}

	private UpstreamPool pool(Upstream upstream) {
		UpstreamPool existing = this.pools.get(upstream.id());
		if (existing != null && existing.incarnationId().equals(upstream.incarnationId())) {
			return existing;
		}
		removeUpstream(upstream.id());
		UpstreamPool pool = new UpstreamPool(this.loop, upstream, this.dialect, this.timers, this.heldBytes,
				this.problems);
		this.pools.put(upstream.id(), pool);
		return pool;
	}

	/**
	 * Identifies an attempt. Immutable.
	 *
	 * @param exchange the exchange
	 * @param attempt the attempt number
	 */
	private record AttemptKey(long exchange, int attempt) {

	}

	/**
	 * Removes an attempt from the client once it has completed. Used by the event loop's
	 * thread.
	 */
	private final class AttemptTracker implements AttemptListener {

		private final AttemptKey key;

		private final AttemptListener delegate;

		AttemptTracker(AttemptKey key, AttemptListener delegate) {
			this.key = key;
			this.delegate = delegate;
		}

		@Override
		public void onWritten() {
			this.delegate.onWritten();
		}

		@Override
		public void onResponse(ResponseHead head, byte[] body) {
			UpstreamClient.this.attempts.remove(this.key);
			this.delegate.onResponse(head, body);
		}

		@Override
		public void onStreamStart(ResponseHead head) {
			this.delegate.onStreamStart(head);
		}

		@Override
		public void onEvent(long number, byte[] raw, byte[] data) {
			this.delegate.onEvent(number, raw, data);
		}

		@Override
		public void onStreamEnd() {
			UpstreamClient.this.attempts.remove(this.key);
			this.delegate.onStreamEnd();
		}

		@Override
		public void onFailure(FailureCause cause) {
			UpstreamClient.this.attempts.remove(this.key);
			this.delegate.onFailure(cause);
		}

	}

}
