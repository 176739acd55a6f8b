package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Decides what a draining relay still sends to upstreams. The decision is made when a
 * request is sent, not when it is received: it may have been received slowly, or have
 * waited since. What the end of the process would cut off is refused, since its caller
 * could not tell whether it has run. Used by one thread.
 */
final class DrainRules {

	private final RelayState state;

	private final ExchangeCompletion completion;

	private Optional<RelayEvent.DrainStarted> drain = Optional.empty();

	DrainRules(RelayState state, ExchangeCompletion completion) {
		this.state = state;
		this.completion = completion;
	}

	void started(RelayEvent.DrainStarted started) {
		this.drain = Optional.of(started);
	}

	/**
	 * Returns whether a request that is sent now ends before the process does. While
	 * callers are still routed here, that is what is usual for its route; later the
	 * deadline of the request must ensure it.
	 * @param exchange the exchange of the request
	 * @return whether it does; {@code true} if the relay does not drain
	 */
	boolean canFinish(Exchange exchange) {
		if (this.drain.isEmpty() || exchange.deadline() <= this.drain.get().endsAt()) {
			return true;
		}
		Duration usual = this.state.responseTimes.usual(exchange.route().name()).orElse(Duration.ZERO);
		return this.state.now < this.drain.get().sendsUntil()
				&& this.state.now + usual.toMillis() <= this.drain.get().endsAt();
	}

	/**
	 * Answers all requests in flight, each with what is known about its execution.
	 */
	void ended() {
		List.copyOf(this.state.exchanges.values())
			.forEach((exchange) -> this.completion.endEarly(exchange, Refusal.DRAINING, Refusal.ANSWER_LOST));
	}

}
