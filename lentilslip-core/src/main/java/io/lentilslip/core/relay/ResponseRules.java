package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RouteRequestEnded.Outcome;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Handles the events of an attempt at an upstream: forwards responses, retries, or fails
 * the exchange. Used by one thread.
 */
final class ResponseRules {

	private final RelayState state;

	private final RequestRules requests;

	private final TextRules texts;

	private final ExchangeCompletion completion;

	private final AdmissionRules admissions;

	ResponseRules(RelayState state, RequestRules requests, TextRules texts, ExchangeCompletion completion) {
		this.admissions = requests.admissions();
		this.state = state;
		this.requests = requests;
		this.texts = texts;
		this.completion = completion;
	}

	void attemptEvent(RelayEvent.AttemptEvent event) {
		Optional<Exchange> found = this.state.find(event);
		if (found.isEmpty() || found.get().attempt() != event.attempt() || found.get().phase() != Phase.RUNNING) {
			return;
		}
		Exchange exchange = found.get();
		switch (event) {
			case RelayEvent.RequestWritten ignored -> requestWritten(exchange);
			case RelayEvent.ResponseReceived response -> responseReceived(exchange, response);
			case RelayEvent.StreamOpened opened -> streamOpened(exchange, opened);
			case RelayEvent.StreamEventReceived received -> eventReceived(exchange, received);
			case RelayEvent.StreamEnded ended -> streamEnded(exchange);
			case RelayEvent.AttemptFailed failed -> attemptFailed(exchange, failed.cause());
		}
	}

	private void requestWritten(Exchange exchange) {
		Duration delay = Duration.ofMillis(this.state.now - exchange.lastActivityAt());
		exchange.recordWrite(this.state.now);
		this.state.emit(new RelayEffect.RecordMeasurement(new Measurement.RequestWritten(delay)));
		if (delay.compareTo(RelaySettings.MIN_REPORTED_WRITE_DELAY) >= 0) {
			this.state.report(RelayNotices.requestWrittenLate(exchange, delay));
		}
	}

	private void responseReceived(Exchange exchange, RelayEvent.ResponseReceived response) {
		ResponseHead head = response.head();
		Optional<UpstreamState> upstream = this.state.upstreamOf(exchange);
		this.state.upstreams.requestEnded(exchange.run());
		recordLoad(exchange, head);
		if (head.notRun()) {
			if (head.misdirected()) {
				misdirected(exchange);
			}
			else {
				this.state.failureRules.responded(exchange);
			}
			this.requests.retry(exchange);
			return;
		}
		this.state.failureRules.responded(exchange);
		exchange.markMayHaveRun();
		if (head.successful() && !head.signed()) {
			attemptFailed(exchange, FailureCause.UNREADABLE);
			return;
		}
		upstream.ifPresent(UpstreamState::recordSuccess);
		if (!head.serverError()) {
			this.state.requestAnswered(exchange, head.successful());
		}
		this.state.idleTimeout.recordFirstResponse(exchange);
		this.completion.settle(exchange, Optional.empty());
		if (exchange.streamOpened()) {
			this.completion.abort(exchange, Refusal.ANSWER_LOST);
			return;
		}
		this.state.report(RelayNotices.requestAnswered(exchange, head.status(), this.state.now));
		this.completion.recordOutcome(exchange, Outcome.ANSWERED);
		this.completion.close(exchange, new RelayEffect.SendResponse(exchange.number(), head, response.body()));
	}

	/**
	 * Ejects an upstream whose address now belongs to another one, although the list of
	 * upstreams still names it. Its immediate rejections look like fast responses, so it
	 * would otherwise be selected again. The attempt doesn't count, since the request was
	 * not run.
	 * @param exchange the exchange
	 */
	private void misdirected(Exchange exchange) {
		this.state.upstreamOf(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		this.state.report(RelayNotices.misdirected(exchange, this.state));
		exchange.markNotSent();
	}

	private void recordLoad(Exchange exchange, ResponseHead head) {
		this.state.upstreamOf(exchange)
			.ifPresent((upstream) -> head.load()
				.ifPresent((load) -> this.state.upstreams.loadReported(upstream, load, this.state.now)));
	}

	private void streamOpened(Exchange exchange, RelayEvent.StreamOpened opened) {
		exchange.markMayHaveRun();
		this.state.failureRules.responded(exchange);
		recordLoad(exchange, opened.head());
		if (!opened.head().signed()) {
			attemptFailed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (!exchange.streamOpened()) {
			exchange.markStreamOpened();
			this.state.emit(new RelayEffect.OpenStream(exchange.number(), opened.head()));
		}
	}

	private void eventReceived(Exchange exchange, RelayEvent.StreamEventReceived event) {
		if (exchange.hasEvent(event.number())) {
			return;
		}
		if (!exchange.expectsEvent(event.number())) {
			attemptFailed(exchange, FailureCause.UNREADABLE);
			return;
		}
		if (exchange.eventCount() == 0) {
			this.state.idleTimeout.recordFirstResponse(exchange);
		}
		exchange.recordEvent(event);
		if (!exchange.holdEvent(event.raw())) {
			this.state.emit(new RelayEffect.ForwardStreamEvent(exchange.number(), event.raw()));
		}
		if (exchange.keptBytes() > 0) {
			this.state.keptResponses.update(exchange).ifPresent(this::abandon);
		}
	}

	private void abandon(Exchange exchange) {
		this.state.upstreamOf(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		this.state.report(RelayNotices.attemptFailed(exchange, FailureCause.UNREADABLE, this.state));
		this.completion.endEarly(exchange, Refusal.ANSWER_LOST, Refusal.ANSWER_LOST);
	}

	/**
	 * Forwards the events that waited until the log has the attempts that brought them.
	 * @param stored the stored attempts
	 */
	void streamAttemptsStored(RelayEvent.StreamAttemptsStored stored) {
		stored.attempts().forEach((run, attempt) -> {
			Long number = this.state.awaitingStreamRecord.get(run);
			if (number != null) {
				releaseEvents(this.state.exchanges.get(number), attempt);
			}
		});
	}

	private void releaseEvents(Exchange exchange, int attempt) {
		for (byte[] event : exchange.releaseEvents(attempt)) {
			this.state.emit(new RelayEffect.ForwardStreamEvent(exchange.number(), event));
		}
		this.state.keptResponses.update(exchange);
		if (exchange.endHeld() && !exchange.holdEnd()) {
			finishStream(exchange);
		}
	}

	private void streamEnded(Exchange exchange) {
		this.state.failureRules.responded(exchange);
		this.state.upstreams.requestEnded(exchange.run());
		this.state.upstreamOf(exchange).ifPresent(UpstreamState::recordSuccess);
		this.state.requestAnswered(exchange, true);
		this.admissions.streamEnded(exchange);
		if (!exchange.holdEnd()) {
			finishStream(exchange);
		}
	}

	private void finishStream(Exchange exchange) {
		if (!exchange.route().storesTurns() || exchange.head().turn().isEmpty()) {
			this.completion.settle(exchange, Optional.empty());
			this.completion.endStream(exchange);
			return;
		}
		this.texts.streamEnded(exchange);
	}

	/**
	 * Retries a request at another upstream if its upstream has been idle for too long.
	 * @param exchange the exchange
	 */
	void checkIdle(Exchange exchange) {
		if (exchange.phase() != Phase.RUNNING || exchange.endHeld()) {
			return;
		}
		if (exchange.callerBlocked()) {
			this.state.idleTimeout.start(exchange);
			return;
		}
		if (this.state.idleTimeout.hasExpired(exchange)) {
			this.requests.replaceIdleUpstream(exchange);
			this.state.idleTimeout.start(exchange);
		}
	}

	private void attemptFailed(Exchange exchange, FailureCause cause) {
		this.state.upstreams.requestEnded(exchange.run());
		if (cause != FailureCause.EXPIRED) {
			this.state.upstreamOf(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		}
		if (!cause.mayHaveRun()) {
			exchange.markNotSent();
		}
		else {
			exchange.markMayHaveRun();
			if (cause == FailureCause.BROKEN) {
				this.state.failureRules.connectionBroken(exchange);
			}
			this.state.emit(new RelayEffect.CancelAttempt(exchange.number(), exchange.attempt()));
		}
		this.state.report(RelayNotices.attemptFailed(exchange, cause, this.state));
		this.requests.retry(exchange);
	}

}
