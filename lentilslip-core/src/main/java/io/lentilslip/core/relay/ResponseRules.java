package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement.RouteRequestEnded.Outcome;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * What becomes of an attempt at an upstream: passed on, sent again, or given up. Used by
 * one thread.
 */
final class ResponseRules {

	private final RelayState state;

	private final RequestRules requests;

	private final TextRules texts;

	private final ExchangeCompletion ends;

	ResponseRules(RelayState state, RequestRules requests, TextRules texts, ExchangeCompletion ends) {
		this.state = state;
		this.requests = requests;
		this.texts = texts;
		this.ends = ends;
	}

	void attemptEvent(RelayEvent.AttemptEvent event) {
		Optional<Exchange> found = this.state.find(event);
		if (found.isEmpty() || found.get().attempt() != event.attempt() || found.get().phase() != Phase.RUNNING) {
			return;
		}
		Exchange exchange = found.get();
		switch (event) {
			case RelayEvent.ResponseReceived answered -> responseReceived(exchange, answered);
			case RelayEvent.StreamOpened opened -> streamOpened(exchange, opened);
			case RelayEvent.StreamEventReceived arrived -> eventArrived(exchange, arrived);
			case RelayEvent.StreamEnded ended -> streamEnded(exchange);
			case RelayEvent.AttemptFailed failed -> failed(exchange, failed.cause());
		}
	}

	private void responseReceived(Exchange exchange, RelayEvent.ResponseReceived answered) {
		ResponseHead head = answered.head();
		Optional<UpstreamState> known = this.state.upstreamOf(exchange);
		this.state.upstreams.requestEnded(exchange.id());
		recordLoad(exchange, head);
		if (head.notRun()) {
			if (head.misdirected()) {
				misdirected(exchange);
			}
			this.requests.retry(exchange);
			return;
		}
		exchange.markMayHaveRun();
		if (head.successful() && !head.signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		known.ifPresent(UpstreamState::recordSuccess);
		this.state.idleTimeout.recordFirstResponse(exchange);
		this.ends.settle(exchange, Optional.empty());
		if (exchange.streamOpened()) {
			this.ends.abort(exchange, Refusal.ANSWER_LOST);
			return;
		}
		this.state.report(RelayNotices.requestAnswered(exchange, head.status(), this.state.now));
		this.ends.recordOutcome(exchange, Outcome.ANSWERED);
		this.ends.close(exchange, new RelayEffect.SendResponse(exchange.number(), head, answered.body()));
	}

	/**
	 * Takes that another upstream answers at the address: the life that was named is
	 * over, though the list still has it. It answers faster than any other does, so that
	 * it would be chosen again and again; and nobody runs the request there, so that
	 * another may.
	 * @param exchange the exchange
	 */
	private void misdirected(Exchange exchange) {
		this.state.upstreamOf(exchange).ifPresent((known) -> known.recordFailure(this.state.now));
		this.state.report(RelayNotices.misdirected(exchange, this.state.now));
		exchange.markNotSent();
	}

	private void recordLoad(Exchange exchange, ResponseHead head) {
		this.state.upstreamOf(exchange)
			.ifPresent((known) -> head.load()
				.ifPresent((load) -> this.state.upstreams.loadReported(known, load.requests(), this.state.now)));
	}

	private void streamOpened(Exchange exchange, RelayEvent.StreamOpened opened) {
		exchange.markMayHaveRun();
		recordLoad(exchange, opened.head());
		if (!opened.head().signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (!exchange.streamOpened()) {
			exchange.markStreamOpened();
			this.state.emit(new RelayEffect.OpenStream(exchange.number(), opened.head()));
		}
	}

	private void eventArrived(Exchange exchange, RelayEvent.StreamEventReceived event) {
		if (exchange.hasEvent(event.number())) {
			return;
		}
		if (!exchange.expectsEvent(event.number())) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (exchange.eventCount() == 0) {
			this.state.idleTimeout.recordFirstResponse(exchange);
		}
		exchange.recordEvent(event);
		this.state.emit(new RelayEffect.ForwardStreamEvent(exchange.number(), event.raw()));
	}

	private void streamEnded(Exchange exchange) {
		this.state.upstreams.requestEnded(exchange.id());
		this.state.upstreamOf(exchange).ifPresent(UpstreamState::recordSuccess);
		if (!exchange.route().storesTurns() || exchange.head().turn().isEmpty()) {
			this.ends.settle(exchange, Optional.empty());
			this.ends.endStream(exchange);
			return;
		}
		this.texts.streamEnded(exchange);
	}

	/**
	 * Looks whether an upstream has been silent for too long.
	 * @param exchange the exchange
	 */
	void checkIdle(Exchange exchange) {
		if (exchange.phase() != Phase.RUNNING) {
			return;
		}
		if (this.state.idleTimeout.hasExpired(exchange)) {
			this.requests.replaceIdleUpstream(exchange);
			this.state.idleTimeout.start(exchange);
		}
	}

	private void failed(Exchange exchange, FailureCause cause) {
		this.state.upstreams.requestEnded(exchange.id());
		this.state.upstreamOf(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		this.state.report(RelayNotices.attemptFailed(exchange, cause, this.state.now));
		if (!cause.mayHaveRun()) {
			exchange.markNotSent();
		}
		else {
			exchange.markMayHaveRun();
			recordPoisonFailure(exchange, cause);
			this.state.emit(new RelayEffect.CancelAttempt(exchange.number(), exchange.attempt()));
		}
		this.requests.retry(exchange);
	}

	private void recordPoisonFailure(Exchange exchange, FailureCause cause) {
		if (cause != FailureCause.BROKEN || exchange.upstream().isEmpty()) {
			return;
		}
		String upstream = exchange.upstream().get().incarnationId();
		this.state.poisonRequests.recordFailure(exchange.digest(), upstream);
		this.state.emit(
				new RelayEffect.AppendEntry(new LedgerEntry.UpstreamFailed(exchange.id(), exchange.digest(), upstream),
						List.copyOf(this.state.linkedPeers)));
	}

}
