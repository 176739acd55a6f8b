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

	private final ExchangeEnds ends;

	ResponseRules(RelayState state, RequestRules requests, TextRules texts, ExchangeEnds ends) {
		this.state = state;
		this.requests = requests;
		this.texts = texts;
		this.ends = ends;
	}

	void ofAttempt(RelayEvent.AttemptEvent event) {
		Optional<Exchange> found = this.state.find(event);
		if (found.isEmpty() || found.get().attempt() != event.attempt() || found.get().phase() != Phase.RUNNING) {
			return;
		}
		Exchange exchange = found.get();
		switch (event) {
			case RelayEvent.ResponseReceived answered -> answered(exchange, answered);
			case RelayEvent.StreamOpened opened -> streamOpened(exchange, opened);
			case RelayEvent.StreamEventReceived arrived -> eventArrived(exchange, arrived);
			case RelayEvent.StreamEnded ended -> streamEnded(exchange);
			case RelayEvent.AttemptFailed failed -> failed(exchange, failed.cause());
		}
	}

	private void answered(Exchange exchange, RelayEvent.ResponseReceived answered) {
		ResponseHead head = answered.head();
		Optional<UpstreamState> known = this.state.known(exchange);
		this.state.upstreams.requestEnded(exchange.id());
		takeLoad(exchange, head);
		if (head.notRun()) {
			if (head.misdirected()) {
				misdirected(exchange);
			}
			this.requests.again(exchange);
			return;
		}
		exchange.mayRun();
		if (head.successful() && !head.signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		known.ifPresent(UpstreamState::recordSuccess);
		this.state.silence.ended(exchange);
		this.ends.settle(exchange, Optional.empty());
		if (exchange.opened()) {
			this.ends.breakOff(exchange, Refusal.ANSWER_LOST);
			return;
		}
		this.state.tell(RelayNotices.answered(exchange, head.status(), this.state.now));
		this.ends.measure(exchange, Outcome.ANSWERED);
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
		this.state.known(exchange).ifPresent((known) -> known.recordFailure(this.state.now));
		this.state.tell(RelayNotices.misdirected(exchange, this.state.now));
		exchange.notSent();
	}

	private void takeLoad(Exchange exchange, ResponseHead head) {
		this.state.known(exchange)
			.ifPresent((known) -> head.load()
				.ifPresent((load) -> this.state.upstreams.loadReported(known, load.requests(), this.state.now)));
	}

	private void streamOpened(Exchange exchange, RelayEvent.StreamOpened opened) {
		exchange.mayRun();
		takeLoad(exchange, opened.head());
		if (!opened.head().signed()) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (!exchange.opened()) {
			exchange.open();
			this.state.emit(new RelayEffect.OpenStream(exchange.number(), opened.head()));
		}
	}

	private void eventArrived(Exchange exchange, RelayEvent.StreamEventReceived event) {
		if (exchange.has(event.number())) {
			return;
		}
		if (!exchange.expects(event.number())) {
			failed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (exchange.events() == 0) {
			this.state.silence.ended(exchange);
		}
		exchange.passed(event);
		this.state.emit(new RelayEffect.ForwardStreamEvent(exchange.number(), event.raw()));
	}

	private void streamEnded(Exchange exchange) {
		this.state.upstreams.requestEnded(exchange.id());
		this.state.known(exchange).ifPresent(UpstreamState::recordSuccess);
		if (!exchange.route().keepsTurns() || exchange.head().turn().isEmpty()) {
			this.ends.settle(exchange, Optional.empty());
			this.ends.endStream(exchange);
			return;
		}
		this.texts.ended(exchange);
	}

	/**
	 * Looks whether an upstream has been silent for too long.
	 * @param exchange the exchange
	 */
	void silenceDue(Exchange exchange) {
		if (exchange.phase() != Phase.RUNNING) {
			return;
		}
		if (this.state.silence.tooLong(exchange)) {
			this.requests.leaveSilent(exchange);
			this.state.silence.watch(exchange);
		}
	}

	private void failed(Exchange exchange, FailureCause cause) {
		this.state.upstreams.requestEnded(exchange.id());
		this.state.known(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		this.state.tell(RelayNotices.attemptFailed(exchange, cause, this.state.now));
		if (!cause.mayHaveRun()) {
			exchange.notSent();
		}
		else {
			exchange.mayRun();
			blame(exchange, cause);
			this.state.emit(new RelayEffect.CancelAttempt(exchange.number(), exchange.attempt()));
		}
		this.requests.again(exchange);
	}

	private void blame(Exchange exchange, FailureCause cause) {
		if (cause != FailureCause.BROKEN || exchange.upstream().isEmpty()) {
			return;
		}
		String upstream = exchange.upstream().get().incarnationId();
		this.state.blames.add(exchange.digest(), upstream);
		this.state.emit(new RelayEffect.AppendEntry(new LedgerEntry.Blamed(exchange.id(), exchange.digest(), upstream),
				List.copyOf(this.state.linked)));
	}

}
