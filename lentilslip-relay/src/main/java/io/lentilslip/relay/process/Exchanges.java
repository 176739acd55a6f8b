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
 * The connections behind the exchanges of a relay: turns what callers and upstreams send
 * into events, and runs the effects that concern them. Used by the event loop's thread.
 */
final class Exchanges implements CallerListener {

	private final Dialect dialect;

	private final UpstreamClient upstreams;

	private final Timers timers;

	private final EventSink events;

	private final Map<Long, OpenExchange> open = new HashMap<>();

	private long lastExchange;

	Exchanges(Dialect dialect, UpstreamClient upstreams, Timers timers, EventSink events) {
		this.dialect = dialect;
		this.upstreams = upstreams;
		this.timers = timers;
		this.events = events;
	}

	int size() {
		return this.open.size();
	}

	@Override
	public long onRequest(CallerConnection connection, HttpRequest request, byte[] body) {
		this.lastExchange++;
		RequestHead head = this.dialect.decodeRequest(request);
		this.open.put(this.lastExchange, new OpenExchange(connection, request, body, head.id()));
		this.events.on(new RelayEvent.RequestReceived(this.timers.now(), this.lastExchange, head, body,
				digest(request, body)));
		return this.lastExchange;
	}

	@Override
	public void onDisconnect(long exchange) {
		this.open.remove(exchange);
		this.events.on(new RelayEvent.CallerDisconnected(this.timers.now(), exchange));
	}

	/**
	 * Ends an exchange on which no decision was reached.
	 * @param exchange the exchange
	 */
	void abort(long exchange) {
		remove(exchange).ifPresent((known) -> known.connection().abort());
	}

	/**
	 * Runs an effect that concerns an exchange.
	 * @param effect the effect
	 * @return whether it does
	 */
	boolean run(RelayEffect effect) {
		switch (effect) {
			case RelayEffect.SendRequest send -> find(send.exchange()).ifPresent((exchange) -> send(exchange, send));
			case RelayEffect.CancelAttempt cancel -> this.upstreams.cancel(cancel.exchange(), cancel.attempt());
			case RelayEffect.SendResponse answer -> remove(answer.exchange())
				.ifPresent((exchange) -> exchange.connection().respond(answer.head(), answer.body()));
			case RelayEffect.OpenStream stream ->
				find(stream.exchange()).ifPresent((exchange) -> exchange.connection().startStream(stream.head()));
			case RelayEffect.ForwardStreamEvent event ->
				find(event.exchange()).ifPresent((exchange) -> exchange.connection().writeContent(event.raw()));
			case RelayEffect.EndStream end ->
				remove(end.exchange()).ifPresent((exchange) -> exchange.connection().endStream());
			case RelayEffect.AbortConnection broken -> abort(broken.exchange());
			case RelayEffect.Refuse refuse -> remove(refuse.exchange()).ifPresent((exchange) -> exchange.connection()
				.respond(this.dialect.encodeRefusal(refuse.refusal(), refuse.retryAfter())));
			default -> {
				return false;
			}
		}
		return true;
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
		CRC32C content = new CRC32C();
		content.update(body);
		CRC32C caller = new CRC32C();
		caller.update(request.method().name().getBytes(StandardCharsets.ISO_8859_1));
		caller.update(request.uri().getBytes(StandardCharsets.ISO_8859_1));
		List<String> names = this.dialect.callerIds(request);
		for (String name : names) {
			caller.update(name.getBytes(StandardCharsets.ISO_8859_1));
			caller.update(0);
		}
		return (caller.getValue() << Integer.SIZE) | content.getValue();
	}

	/**
	 * Takes events. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface EventSink {

		/**
		 * Takes an event.
		 * @param event the event
		 */
		void on(RelayEvent event);

	}

	/**
	 * What an exchange needs of its caller. Immutable.
	 *
	 * @param connection where its answer goes
	 * @param request the request
	 * @param body its body
	 * @param id the id of the caller's attempt
	 */
	private record OpenExchange(CallerConnection connection, HttpRequest request, byte[] body, String id) {

	}

	/**
	 * Turns what becomes of an attempt into events. Used by the event loop's thread.
	 */
	private final class Attempt implements AttemptListener {

		private final long exchange;

		private final int attempt;

		Attempt(long exchange, int attempt) {
			this.exchange = exchange;
			this.attempt = attempt;
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
