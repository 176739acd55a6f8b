package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RouteRequestEnded.Outcome;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RequestHead.Turn;
import io.lentilslip.core.verdict.Verdict;

/**
 * Completes exchanges: sends the last effect, records the outcome, settles the budget and
 * removes the exchange. Used by one thread.
 */
final class ExchangeCompletion {

	private final RelayState state;

	private Consumer<Exchange> onRemoved = (exchange) -> {
	};

	ExchangeCompletion(RelayState state) {
		this.state = state;
	}

	void refuseWithoutExchange(RelayEvent.RequestReceived request, Refusal refusal, Optional<Duration> retryAfter) {
		this.state.report(RelayNotices.requestRefused(request.head(), refusal));
		this.state.emit(new RelayEffect.Refuse(request.exchange(), refusal, retryAfter));
	}

	void refuse(Exchange exchange, Refusal refusal, Optional<Duration> retryAfter) {
		this.state.report(RelayNotices.requestRefused(exchange, refusal, this.state));
		recordOutcome(exchange, Outcome.REFUSED);
		this.state.emit(new RelayEffect.RecordMeasurement(
				new Measurement.RouteRequestRefused(exchange.route().name(), refusal.name().toLowerCase(Locale.ROOT))));
		close(exchange, new RelayEffect.Refuse(exchange.number(), refusal, retryAfter));
	}

	void abort(Exchange exchange, Refusal reason) {
		this.state.report(RelayNotices.streamAborted(exchange, reason, this.state.now));
		recordOutcome(exchange, Outcome.BROKEN_OFF);
		close(exchange, new RelayEffect.AbortConnection(exchange.number()));
	}

	void endStream(Exchange exchange) {
		this.state.report(RelayNotices.requestAnswered(exchange, ResponseHead.SUCCESS, this.state.now));
		recordOutcome(exchange, Outcome.ANSWERED);
		close(exchange, new RelayEffect.EndStream(exchange.number()));
	}

	void recordOutcome(Exchange exchange, Outcome outcome) {
		Duration latency = Duration.ofMillis(this.state.now - exchange.request().now());
		if (outcome == Outcome.ANSWERED) {
			this.state.responseTimes.record(exchange.route().name(), latency);
		}
		this.state.emit(new RelayEffect.RecordMeasurement(new Measurement.RouteRequestEnded(exchange.route().name(),
				outcome, latency, exchange.timeToFirstEvent())));
	}

	void close(Exchange exchange, RelayEffect lastEffect) {
		this.state.emit(lastEffect);
		remove(exchange);
	}

	/**
	 * Sets the listener for exchanges that are removed.
	 * @param listener receives each exchange before its removal
	 */
	void onRemoved(Consumer<Exchange> listener) {
		this.onRemoved = listener;
	}

	private void remove(Exchange exchange) {
		this.onRemoved.accept(exchange);
		this.state.keptResponses.remove(exchange);
		this.state.exchanges.remove(exchange.number());
		this.state.awaitingChain.remove(exchange.number());
		this.state.awaitingVersion.remove(exchange.number());
		this.state.awaitingUpstreams.remove(exchange.number());
		this.state.awaitingStreamRecord.remove(exchange.run());
		this.state.pendingTurns.remove(exchange.run());
		this.state.conditionalReservations.remove(exchange.run());
		this.state.polls.remove(exchange.run());
	}

	void giveUp(Exchange exchange, Refusal refusal) {
		settle(exchange, Optional.empty());
		if (exchange.streamOpened()) {
			abort(exchange, refusal);
			return;
		}
		boolean retryable = refusal.verdict() == Verdict.NOT_RUN;
		refuse(exchange, refusal, retryable ? Optional.of(RelaySettings.RETRY_AFTER) : Optional.empty());
	}

	void settle(Exchange exchange, Optional<TextLocation> text) {
		if (!exchange.reserved()) {
			return;
		}
		LedgerEntry.Settled settled = settlement(exchange, text);
		this.state.tokens.settle(settled.program(), settled.run(), settled.tokens());
		this.state.write(settled,
				exchange.reservedOnAll() ? this.state.otherRelays() : this.state.otherReplicas(settled.program()));
	}

	/**
	 * Returns the entry that settles the tokens of a turn against the budget of its
	 * program.
	 * @param exchange the exchange of the turn
	 * @param text the location of its text, if it is stored
	 * @return the entry
	 */
	LedgerEntry.Settled settlement(Exchange exchange, Optional<TextLocation> text) {
		Turn turn = exchange.head().turn().orElseThrow();
		int tokensPerEvent = this.state.engine(exchange.upstream().map(Upstream::service).orElse(""))
			.map(RouteTable.Engine::tokensPerEvent)
			.orElse(1);
		return new LedgerEntry.Settled(exchange.run(), turn.program(), exchange.eventCount() * tokensPerEvent, text);
	}

	void callerDisconnected(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_BUDGET) {
			exchange.markReserved();
			settle(exchange, Optional.empty());
		}
		if (exchange.phase() == Phase.RUNNING) {
			cancelAttempt(exchange);
			settle(exchange, Optional.empty());
		}
		this.state.report(RelayNotices.callerDisconnected(exchange, this.state.now));
		recordOutcome(exchange, Outcome.CALLER_LEFT);
		remove(exchange);
	}

	void deadlineExceeded(Exchange exchange) {
		switch (exchange.phase()) {
			case WAITING_FOR_PERMIT -> refuse(exchange, Refusal.QUOTA_UNKNOWN, Optional.of(RelaySettings.RETRY_AFTER));
			case WAITING_FOR_VERSION -> refuse(exchange, Refusal.EXPIRED, Optional.empty());
			case WAITING_FOR_CHAIN -> chainTimedOut(exchange);
			case WAITING_FOR_BUDGET -> budgetUndecided(exchange);
			case RUNNING, STORING -> endEarly(exchange, Refusal.EXPIRED, Refusal.NO_ANSWER_IN_TIME);
		}
	}

	/**
	 * Ends an exchange without a response of an upstream.
	 * @param exchange the exchange
	 * @param notRun the reason if the request has not run
	 * @param mayHaveRun the reason if it may have run
	 */
	void endEarly(Exchange exchange, Refusal notRun, Refusal mayHaveRun) {
		switch (exchange.phase()) {
			case WAITING_FOR_PERMIT, WAITING_FOR_VERSION, WAITING_FOR_CHAIN -> giveUp(exchange, notRun);
			case WAITING_FOR_BUDGET -> {
				// The log may still admit the reservation.
				exchange.markReserved();
				giveUp(exchange, notRun);
			}
			case RUNNING -> {
				cancelAttempt(exchange);
				giveUp(exchange, (exchange.mayHaveRun() || exchange.written()) ? mayHaveRun : notRun);
			}
			case STORING -> abort(exchange, Refusal.NOT_STORED_IN_TIME);
		}
	}

	/**
	 * Abandons the current attempt without a response.
	 * @param exchange the exchange
	 */
	void cancelAttempt(Exchange exchange) {
		if (exchange.written()) {
			this.state.failureRules.attemptAbandoned(exchange);
		}
		this.state.emit(new RelayEffect.CancelAttempt(exchange.number(), exchange.attempt()));
		this.state.upstreams.requestEnded(exchange.run());
	}

	void budgetUndecided(Exchange exchange) {
		exchange.markReserved();
		giveUp(exchange, Refusal.LOG_LOST);
	}

	void chainTimedOut(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_CHAIN) {
			Refusal reason = this.state.logStale ? Refusal.NOT_READY : Refusal.TURN_UNCERTAIN;
			refuse(exchange, reason, Optional.of(RelaySettings.RETRY_AFTER));
		}
	}

}
