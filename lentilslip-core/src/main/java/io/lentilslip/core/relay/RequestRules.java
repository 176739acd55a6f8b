package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.RequestHead.Turn;
import io.lentilslip.core.relay.UpstreamSelector.RankedUpstream;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * What becomes of a caller's request up to its sending: route, chain, budget and
 * upstream. Used by one thread.
 */
final class RequestRules {

	private final RelayState state;

	private final BudgetRules budgets;

	private final TextRules texts;

	private final ExchangeCompletion ends;

	private final QuotaRules quotas;

	RequestRules(RelayState state, BudgetRules budgets, TextRules texts, ExchangeCompletion ends) {
		this.state = state;
		this.budgets = budgets;
		this.texts = texts;
		this.ends = ends;
		this.quotas = new QuotaRules(state, ends, this::admitted);
		ends.onRemoved(this.quotas::exchangeEnded);
	}

	QuotaRules quotas() {
		return this.quotas;
	}

	void requestReceived(RelayEvent.RequestReceived asked) {
		if (this.state.routeTable.isEmpty() || !this.state.upstreams.initialized()) {
			boolean turn = asked.head().turn().isPresent();
			this.ends.refuseWithoutExchange(asked, Refusal.NOT_READY,
					Optional.of(turn ? RelaySettings.RETRY_AFTER_LOG_READ : RelaySettings.RETRY_AFTER_RECOVERY));
			return;
		}
		RouteTable table = this.state.routeTable.get();
		Optional<Route> route = table.find(asked.head().host(), asked.head().path());
		Optional<CallerIdentity> caller = table.identify(route, asked.head().origin().key());
		if (caller.isEmpty()) {
			this.ends.refuseWithoutExchange(asked, Refusal.KEY_UNKNOWN, Optional.empty());
			return;
		}
		if (route.isEmpty()) {
			this.ends.refuseWithoutExchange(asked, Refusal.NO_ROUTE, Optional.empty());
			return;
		}
		Exchange exchange = new Exchange(asked, route.get(), caller.get());
		this.state.exchanges.put(asked.exchange(), exchange);
		if (this.state.poisonRequests.isPoison(exchange.digest())) {
			this.ends.refuse(exchange, Refusal.BLAMED, Optional.empty());
			return;
		}
		this.state.startTimer(exchange, exchange.remaining(this.state.now), TimerKind.DEADLINE);
		if ((exchange.head().turn().isPresent() && refuseTurn(exchange)) || !this.quotas.admit(exchange)) {
			return;
		}
		admitted(exchange);
	}

	private void admitted(Exchange exchange) {
		boolean waits = this.state.logStale || !this.texts.resolveChain(exchange);
		if (exchange.head().turn().isEmpty() || !waits) {
			dispatch(exchange);
			return;
		}
		this.state.awaitingChain.put(exchange.number(), exchange);
		if (!exchange.fetchingTexts()) {
			this.texts.requestLocations(exchange);
		}
		this.state.startTimer(exchange, exchange.route().latencyTarget().dividedBy(RelaySettings.CHAIN_TIMEOUT_DIVISOR),
				TimerKind.CHAIN_LOOKUP);
	}

	private boolean refuseTurn(Exchange exchange) {
		// A turn that no record can hold would run and never end: its end waits for the
		// log, and the entries behind it would wait with it.
		if (exchange.route().storesTurns() && exchange.request().body().length > this.state.maxInputBytes) {
			this.ends.refuse(exchange, Refusal.TOO_LONG, Optional.empty());
			return true;
		}
		// Where a text stands is told before it is written. Told by a relay that does
		// not know the end of its partition, others would look for it from the first
		// record on, and give up before they find it.
		boolean placeUnknown = exchange.route().storesTurns() && this.state.textEndOffset < 0;
		if (!this.state.caughtUp || !this.state.membershipKnown() || placeUnknown) {
			this.ends.refuse(exchange, Refusal.NOT_READY, Optional.of(RelaySettings.RETRY_AFTER_LOG_READ));
			return true;
		}
		// A relay that reaches nobody can't see what a program spends elsewhere, and
		// would give it more than its budget. Refused here, the caller goes to a relay
		// that can see.
		if (this.state.connectivity == Connectivity.NOTHING) {
			this.ends.refuse(exchange, Refusal.ISOLATED, Optional.of(RelaySettings.RETRY_AFTER));
			return true;
		}
		return false;
	}

	/**
	 * Goes on with the turns whose texts before are at hand by now.
	 */
	void dispatchWaiting() {
		if (this.state.logStale) {
			return;
		}
		for (Exchange exchange : List.copyOf(this.state.awaitingChain.values())) {
			if (this.texts.resolveChain(exchange)) {
				dispatch(exchange);
			}
		}
	}

	void dispatch(Exchange exchange) {
		this.state.awaitingChain.remove(exchange.number());
		if (!exchange.reserved()) {
			switch (this.budgets.admit(exchange)) {
				case REFUSED -> {
					this.ends.refuse(exchange, Refusal.BUDGET_SPENT, Optional.empty());
					return;
				}
				case UNDECIDED -> {
					Optional<Boolean> held = this.budgets.requestDecision(exchange);
					if (held.isEmpty()) {
						return;
					}
					if (!held.get()) {
						this.ends.giveUp(exchange, Refusal.BUDGET_SPENT);
						return;
					}
				}
				case ADMITTED -> {
				}
			}
		}
		List<RankedUpstream> weighed = weigh(exchange);
		if (weighed.isEmpty()) {
			this.ends.giveUp(exchange, exchange.mayHaveRun() ? Refusal.ANSWER_LOST : Refusal.NO_UPSTREAM);
			return;
		}
		send(exchange, weighed);
	}

	/**
	 * Sends a request whose upstream is silent to another one, if one has a free place: a
	 * connection may be gone without a word, and only time tells. Where all are busy the
	 * silence is a queue, and going to the end of another one helps nobody. Only for
	 * requests that may run twice.
	 * @param exchange the exchange
	 */
	void replaceIdleUpstream(Exchange exchange) {
		List<RankedUpstream> next = weigh(exchange).stream().filter(this::free).toList();
		boolean blamed = this.state.poisonRequests.isPoison(exchange.digest());
		if (next.isEmpty() || blamed || exchange.sendCount() >= exchange.route().maxAttempts()) {
			return;
		}
		exchange.markMayHaveRun();
		this.ends.cancelAttempt(exchange);
		this.state.upstreamOf(exchange).ifPresent((known) -> known.recordFailure(this.state.now));
		this.state.report(RelayNotices.upstreamIdle(exchange, this.state.now));
		send(exchange, next);
	}

	private boolean free(RankedUpstream weighed) {
		UpstreamState known = weighed.state();
		return !known.isEjected(this.state.now) && weighed.load() < known.slots();
	}

	private List<RankedUpstream> weigh(Exchange exchange) {
		String service = service(exchange.route());
		boolean engine = this.state.engine(service).isPresent();
		boolean warm = exchange.route().affinity() && !engine;
		Optional<String> object = exchange.head().affinityKey().filter((name) -> warm);
		return this.state.upstreamSelector.rank(this.state.upstreams.available(service), exchange.triedUpstreams(),
				exchange.head().prompt(), engine, object, this.state.now);
	}

	private String service(Route route) {
		double total = 0;
		for (Route.WeightedService target : route.services()) {
			total += target.weight();
		}
		double point = this.state.random.nextDouble() * total;
		for (Route.WeightedService target : route.services()) {
			point -= target.weight();
			if (point < 0) {
				return target.service();
			}
		}
		return route.services().getLast().service();
	}

	private void send(Exchange exchange, List<RankedUpstream> weighed) {
		UpstreamState known = weighed.getFirst().state();
		Upstream upstream = known.upstream();
		exchange.recordSend(upstream, this.state.now);
		this.state.report(RelayNotices.requestPlaced(exchange, weighed, this.state));
		this.state.upstreams.requestSent(exchange.id(), known, this.state.now);
		List<PromptPart> prompt = exchange.head().prompt();
		known.addToCache(prompt, this.state.cacheTokens(upstream));
		exchange.head().turn().ifPresent((turn) -> reserve(exchange, turn, upstream, prompt));
		if (exchange.route().repeatable() && exchange.markIdleTimerStarted()) {
			this.state.idleTimeout.start(exchange);
		}
		boolean stream = exchange.route().repeatability() == Repeatability.STREAM;
		this.state.emit(new RelayEffect.SendRequest(exchange.number(), exchange.attempt(), upstream, exchange.prefix(),
				exchange.remaining(this.state.now), exchange.lastEvent(), stream, exchange.caller()));
	}

	private void reserve(Exchange exchange, Turn turn, Upstream upstream, List<PromptPart> prompt) {
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.id(), turn.maxTokens());
		this.state.write(new LedgerEntry.Reserved(exchange.id(), turn.program(), turn.maxTokens(),
				upstream.incarnationId(), prompt, false));
	}

	/**
	 * Sends a request once more if its route, its time and what it has done allow it, and
	 * ends it otherwise.
	 * @param exchange the exchange
	 */
	void retry(Exchange exchange) {
		boolean allowed = !exchange.mayHaveRun() || exchange.route().repeatable();
		boolean blamed = this.state.poisonRequests.isPoison(exchange.digest());
		if (allowed && !blamed && exchange.sendCount() < exchange.route().maxAttempts()
				&& this.state.now < exchange.deadline()) {
			List<RankedUpstream> next = weigh(exchange);
			if (!next.isEmpty()) {
				send(exchange, next);
				return;
			}
		}
		this.ends.giveUp(exchange, exchange.mayHaveRun() ? Refusal.ANSWER_LOST : Refusal.NO_UPSTREAM);
	}

}
