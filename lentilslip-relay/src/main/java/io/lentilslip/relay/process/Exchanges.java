package io.lentilslip.relay.process;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RequestHead;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.relay.http.CallerConnection;
import io.lentilslip.relay.http.CallerListener;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.relay.upstream.AttemptListener;
import io.lentilslip.relay.upstream.UpstreamClient;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Open exchanges and their connections: converts data from callers and upstreams to
 * events, and runs the effects that apply to an exchange. Used by the event loop's
 * thread.
 */
final class Exchanges implements CallerListener {

	private final Dialect dialect;

	private final UpstreamClient upstreams;

	private final Timers timers;

	private final EventListener events;

	private final Map<Long, OpenExchange> open = new HashMap<>();

	private long lastExchange;

	Exchanges(Dialect dialect, UpstreamClient upstreams, Timers timers, EventListener events) {
		this.dialect = dialect;
		this.upstreams = upstreams;
		this.timers = timers;
		this.events = events;
	}

	int size() {
		return this.open.size();
	}

	@Override
	public long onRequest(CallerConnection connection, HttpRequest request, byte[] body, long headReadAt) {
		this.lastExchange++;
		RequestHead head = this.dialect.decodeRequest(request).bounded();
		this.open.put(this.lastExchange, new OpenExchange(connection, request, body, head.id()));
		this.events.on(new RelayEvent.RequestReceived(this.timers.now(), headReadAt, this.lastExchange, head, body,
				digest(request, body)));
		return this.lastExchange;
	}

	// The upstream is not read until the caller reads again. It may cut off a response
	// that stays unread, which then is not complete for the caller either.
	@Override
	public void onWritabilityChanged(long exchange, boolean writable) {
		if (this.open.containsKey(exchange)) {
			this.upstreams.setReading(exchange, writable);
			this.events.on(new RelayEvent.CallerBlocked(this.timers.now(), exchange, !writable));
		}
	}

	@Override
	public void onDisconnect(long exchange) {
		this.open.remove(exchange);
		this.events.on(new RelayEvent.CallerDisconnected(this.timers.now(), exchange));
	}

	/**
	 * Aborts the caller's connection after an event could not be processed.
	 * @param exchange the exchange
	 */
	void abort(long exchange) {
		remove(exchange).ifPresent((open) -> open.connection().abort());
	}

	/**
	 * Runs an effect if it applies to an exchange or an upstream.
	 * @param effect the effect
	 * @return whether it does
	 */
	boolean run(RelayEffect effect) {
		switch (effect) {
			case RelayEffect.SendRequest send -> find(send.exchange()).ifPresent((exchange) -> send(exchange, send));
			case RelayEffect.CancelAttempt cancel -> this.upstreams.cancel(cancel.exchange(), cancel.attempt());
			case RelayEffect.ProbeUpstream probe -> probe(probe);
			case RelayEffect.SendResponse response -> remove(response.exchange())
				.ifPresent((exchange) -> exchange.connection().respond(response.head(), response.body()));
			case RelayEffect.OpenStream opening ->
				find(opening.exchange()).ifPresent((exchange) -> exchange.connection().startStream(opening.head()));
			case RelayEffect.ForwardStreamEvent event ->
				find(event.exchange()).ifPresent((exchange) -> exchange.connection().writeContent(event.raw()));
			case RelayEffect.EndStream end ->
				remove(end.exchange()).ifPresent((exchange) -> exchange.connection().endStream());
			case RelayEffect.AbortConnection abort -> abort(abort.exchange());
			case RelayEffect.Refuse refuse -> remove(refuse.exchange()).ifPresent((exchange) -> exchange.connection()
				.respond(this.dialect.encodeRefusal(refuse.refusal(), refuse.retryAfter())));
			default -> {
				return false;
			}
		}
		return true;
	}

	private void probe(RelayEffect.ProbeUpstream probe) {
		this.timers.schedule(probe.delay(), () -> this.upstreams.probe(probe.upstream(), (refused) -> this.events
			.on(new RelayEvent.UpstreamProbed(this.timers.now(), probe.upstream(), refused))));
	}

	private void send(OpenExchange exchange, RelayEffect.SendRequest send) {
		this.upstreams.send(send, exchange.id(), exchange.request(), exchange.body(),
				new Attempt(send.exchange(), send.attempt()));
	}

	private Optional<OpenExchange> find(long exchange) {
		return Optional.ofNullable(this.open.get(exchange));
	}

	private Optional<OpenExchange> remove(long exchange) {
		return Optional.ofNullable(this.open.remove(exchange));
	}

	private long digest(HttpRequest request, byte[] body) {
		CRC32C bodyChecksum = new CRC32C();
		bodyChecksum.update(body);
		CRC32C callerChecksum = new CRC32C();
		callerChecksum.update(request.method().name().getBytes(StandardCharsets.ISO_8859_1));
		callerChecksum.update(request.uri().getBytes(StandardCharsets.ISO_8859_1));
		List<String> names = this.dialect.callerIds(request);
		for (String name : names) {
			callerChecksum.update(name.getBytes(StandardCharsets.ISO_8859_1));
			callerChecksum.update(0);
		}
		return (callerChecksum.getValue() << Integer.SIZE) | bodyChecksum.getValue();
	}

	/**
	 * Receives events. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface EventListener {

		/**
		 * Handles an event.
		 * @param event the event
		 */
		void on(RelayEvent event);

	}

	/**
	 * The caller's side of an exchange. Immutable.
	 *
	 * @param connection the connection of the caller
	 * @param request the request
	 * @param body the body of the request
	 * @param id the id of the request
	 */
	private record OpenExchange(CallerConnection connection, HttpRequest request, byte[] body, String id) {

	}

	/**
	 * Converts the outcome of an attempt to events. Used by the event loop's thread.
	 */
	private final class Attempt implements AttemptListener {

		private final long exchange;

		private final int attempt;

		Attempt(long exchange, int attempt) {
			this.exchange = exchange;
			this.attempt = attempt;
		}

		@Override
		public void onWritten() {
			emit(new RelayEvent.RequestWritten(now(), this.exchange, this.attempt));
		}

		@Override
		public void onResponse(ResponseHead head, byte[] body) {
			emit(new RelayEvent.ResponseReceived(now(), this.exchange, this.attempt, head, body));
		}

		@Override
		public void onStreamStart(ResponseHead head) {
			emit(new RelayEvent.StreamOpened(now(), this.exchange, this.attempt, head));
		}

		@Override
		public void onEvent(long number, byte[] raw, byte[] data) {
			emit(new RelayEvent.StreamEventReceived(now(), this.exchange, this.attempt, number, raw, data));
		}

		@Override
		public void onStreamEnd() {
			emit(new RelayEvent.StreamEnded(now(), this.exchange, this.attempt));
		}

		@Override
		public void onFailure(FailureCause cause) {
			emit(new RelayEvent.AttemptFailed(now(), this.exchange, this.attempt, cause));
		}

		private void emit(RelayEvent event) {
			Exchanges.this.events.on(event);
		}

		private long now() {
			return Exchanges.this.timers.now();
		}

	}

}
