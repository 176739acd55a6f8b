package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.lentilslip.core.measurement.Measurement.StreamResumed.Source;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.RequestHead.Turn;
import io.lentilslip.core.relay.UpstreamSelector.RankedUpstream;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Handles a caller's request until it is sent to an upstream: route, quota, chain, budget
 * and upstream selection. Used by one thread.
 */
final class RequestRules {

	private final RelayState state;

	private final BudgetRules budgets;

	private final TextRules texts;

	private final ExchangeCompletion completion;

	private final QuotaRules quotas;

	private final AdmissionRules admissions;

	private final StreamRules streams;

	private final DrainRules drain;

	RequestRules(RelayState state, BudgetRules budgets, TextRules texts, ExchangeCompletion completion,
			DrainRules drain) {
		this.drain = drain;
		this.state = state;
		this.budgets = budgets;
		this.texts = texts;
		this.completion = completion;
		this.quotas = new QuotaRules(state, completion, this::admitted);
		this.admissions = new AdmissionRules(state, completion);
		this.streams = new StreamRules(state, completion);
		completion.onRemoved(this.quotas::exchangeEnded);
	}

	AdmissionRules admissions() {
		return this.admissions;
	}

	StreamRules streams() {
		return this.streams;
	}

	QuotaRules quotas() {
		return this.quotas;
	}

	void requestReceived(RelayEvent.RequestReceived request) {
		if (this.state.routeTable.isEmpty() || !this.state.upstreams.initialized()) {
			boolean turn = request.head().turn().isPresent();
			this.completion.refuseWithoutExchange(request, Refusal.NOT_READY,
					Optional.of(turn ? RelaySettings.RETRY_AFTER_LOG_READ : RelaySettings.RETRY_AFTER_RECOVERY));
			return;
		}
		RouteTable table = this.state.routeTable.get();
		Optional<Route> route = table.find(request.head().host(), request.head().path());
		Optional<CallerIdentity> caller = table.identify(route, request.head().origin().key());
		if (caller.isEmpty()) {
			this.completion.refuseWithoutExchange(request, Refusal.KEY_UNKNOWN, Optional.empty());
			return;
		}
		if (route.isEmpty()) {
			this.completion.refuseWithoutExchange(request, Refusal.NO_ROUTE, Optional.empty());
			return;
		}
		Exchange exchange = new Exchange(request, route.get(), caller.get());
		exchange.beginRun(this.state.newRun(exchange));
		this.state.exchanges.put(request.exchange(), exchange);
		this.state.requestTargets.recordRequest(exchange);
		if (this.state.isPoison(exchange)) {
			refusePoison(exchange);
			return;
		}
		if (refuseIfDraining(exchange)) {
			return;
		}
		this.state.startTimer(exchange, exchange.remaining(this.state.now), TimerKind.DEADLINE);
		if (exchange.head().turn().isPresent() && (refuseTurn(exchange) || this.admissions.refuse(exchange))) {
			return;
		}
		if (!this.quotas.admit(exchange)) {
			return;
		}
		admitted(exchange);
	}

	/**
	 * Continues the waiting requests whose software versions are known now.
	 * @param source how they became known
	 */
	void resumeWaiting(Source source) {
		this.streams.takeResolved(source).forEach(this::resolved);
	}

	void versionTimedOut(Exchange exchange) {
		if (this.streams.timedOut(exchange)) {
			resolved(exchange);
		}
	}

	/**
	 * Continues the requests that wait for a complete list of upstreams.
	 * @param confirmation the number of the last request for it that has been met
	 */
	void upstreamsConfirmed(long confirmation) {
		this.streams.takeConfirmed(confirmation).forEach(this::resolved);
	}

	private void admitted(Exchange exchange) {
		if (this.streams.resolve(exchange)) {
			resolved(exchange);
		}
	}

	private void resolved(Exchange exchange) {
		exchange.transitionTo(Phase.WAITING_FOR_CHAIN);
		boolean mustWait = this.state.logStale || !this.texts.resolveChain(exchange);
		if (exchange.head().turn().isEmpty() || !mustWait) {
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

	// No retry delay: the request is never run again.
	private void refusePoison(Exchange exchange) {
		this.completion.settle(exchange, Optional.empty());
		this.completion.refuse(exchange, Refusal.BLAMED, Optional.empty());
	}

	private boolean refuseIfDraining(Exchange exchange) {
		if (this.drain.canFinish(exchange)) {
			return false;
		}
		this.completion.giveUp(exchange, Refusal.DRAINING);
		return true;
	}

	private boolean refuseTurn(Exchange exchange) {
		// A longer text might be dropped from the queue in an outage, or exceed a message
		// to another relay, and the end of its turn would wait in vain.
		if (exchange.route().storesTurns() && exchange.request().body().length > this.state.maxInputBytes) {
			this.completion.refuse(exchange, Refusal.TOO_LONG, Optional.empty());
			return true;
		}
		// A location is sent to other relays before the text is appended. Without the
		// end offset of the partition, they would search it from its start and time
		// out.
		boolean locationUnknown = exchange.route().storesTurns() && this.state.textEndOffset < 0;
		if (!this.state.caughtUp || !this.state.membershipKnown() || locationUnknown) {
			this.completion.refuse(exchange, Refusal.NOT_READY, Optional.of(RelaySettings.RETRY_AFTER_LOG_READ));
			return true;
		}
		// An isolated relay can't see what a program uses elsewhere and could exceed
		// its budget. The caller can retry at another relay.
		if (this.state.connectivity == Connectivity.NOTHING) {
			this.completion.refuse(exchange, Refusal.ISOLATED, Optional.of(RelaySettings.RETRY_AFTER));
			return true;
		}
		return false;
	}

	/**
	 * Dispatches the waiting turns whose chains are now complete.
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
		if (this.state.isPoison(exchange)) {
			refusePoison(exchange);
			return;
		}
		if (refuseIfDraining(exchange)) {
			return;
		}
		if (!exchange.reserved()) {
			switch (this.budgets.admit(exchange)) {
				case REFUSED -> {
					this.completion.refuse(exchange, Refusal.BUDGET_SPENT, Optional.empty());
					return;
				}
				case UNDECIDED -> {
					Optional<Boolean> decision = this.budgets.requestDecision(exchange);
					if (decision.isEmpty()) {
						return;
					}
					if (!decision.get()) {
						this.completion.giveUp(exchange, Refusal.BUDGET_SPENT);
						return;
					}
				}
				case ADMITTED -> {
				}
			}
		}
		if (this.admissions.refuseUndecided(exchange)) {
			return;
		}
		List<RankedUpstream> ranked = rank(exchange);
		if (ranked.isEmpty()) {
			this.completion.giveUp(exchange, exchange.mayHaveRun() ? Refusal.ANSWER_LOST : noUpstream(exchange));
			return;
		}
		send(exchange, ranked);
	}

	/**
	 * Sends a request whose upstream is idle to another upstream, if one has a free slot.
	 * This detects connections that were lost without a reset. If all upstreams are busy,
	 * the request is probably queued and would only lose its position. Only for
	 * repeatable requests.
	 * @param exchange the exchange
	 */
	void replaceIdleUpstream(Exchange exchange) {
		List<RankedUpstream> next = rank(exchange, this::hasFreeSlot);
		boolean poison = this.state.isPoison(exchange);
		if (next.isEmpty() || poison || exchange.sendCount() >= exchange.route().maxAttempts()
				|| !this.drain.canFinish(exchange)) {
			return;
		}
		if (exchange.written()) {
			exchange.markMayHaveRun();
		}
		this.completion.cancelAttempt(exchange);
		this.state.upstreamOf(exchange).ifPresent((upstream) -> upstream.recordFailure(this.state.now));
		this.state.report(RelayNotices.upstreamIdle(exchange, this.state));
		send(exchange, next);
	}

	private boolean hasFreeSlot(RankedUpstream ranked) {
		UpstreamState candidate = ranked.state();
		return !candidate.isEjected(this.state.now) && ranked.load() < candidate.slots();
	}

	private List<RankedUpstream> rank(Exchange exchange) {
		return rank(exchange, (ranked) -> true);
	}

	// Another relay may know an earlier attempt only, so a retry prefers its version.
	private List<RankedUpstream> rank(Exchange exchange, Predicate<RankedUpstream> usable) {
		String service = exchange.softwareVersion()
			.map(SoftwareVersion::service)
			.orElseGet(() -> selectService(exchange.route()));
		boolean engine = this.state.engine(service).isPresent();
		boolean useAffinity = exchange.route().affinity() && !engine;
		Optional<String> affinityKey = exchange.head().affinityKey().filter((key) -> useAffinity);
		for (List<UpstreamState> candidates : this.streams.candidates(exchange, service)) {
			List<RankedUpstream> ranked = this.state.upstreamSelector
				.rank(candidates, exchange.triedUpstreams(), exchange.head().prompt(), engine, affinityKey,
						this.state.now)
				.stream()
				.filter(usable)
				.toList();
			if (!ranked.isEmpty()) {
				return ranked;
			}
		}
		return List.of();
	}

	private String selectService(Route route) {
		double totalWeight = 0;
		for (Route.WeightedService target : route.services()) {
			totalWeight += target.weight();
		}
		double point = this.state.random.nextDouble() * totalWeight;
		for (Route.WeightedService target : route.services()) {
			point -= target.weight();
			if (point < 0) {
				return target.service();
			}
		}
		return route.services().getLast().service();
	}

	private void send(Exchange exchange, List<RankedUpstream> ranked) {
		this.admissions.sent(exchange);
		UpstreamState candidate = ranked.getFirst().state();
		Upstream upstream = candidate.upstream();
		boolean otherVersion = this.streams.lastVersion(exchange)
			.filter((previous) -> !previous.isOf(upstream))
			.isPresent();
		exchange.recordSend(upstream, this.state.now);
		if (otherVersion && exchange.head().turn().isPresent()) {
			exchange.holdEvents();
			this.state.awaitingStreamRecord.put(exchange.run(), exchange.number());
		}
		this.state.report(RelayNotices.requestPlaced(exchange, ranked, this.state));
		this.state.upstreams.requestSent(exchange.run(), candidate, this.state.now);
		List<PromptPart> prompt = exchange.head().prompt();
		candidate.addToCache(prompt, this.state.cacheTokens(upstream));
		Optional<StreamAttempt> attempt = this.streams.recordSend(exchange, upstream);
		exchange.head().turn().ifPresent((turn) -> reserve(exchange, turn, upstream, attempt));
		if (exchange.route().repeatable() && exchange.markIdleTimerStarted()) {
			this.state.idleTimeout.start(exchange);
		}
		boolean stream = exchange.route().repeatability() == Repeatability.STREAM;
		this.state.emit(new RelayEffect.SendRequest(exchange.number(), exchange.attempt(), upstream, exchange.prefix(),
				exchange.deadline(), exchange.lastEvent(), stream, exchange.caller()));
	}

	private void reserve(Exchange exchange, Turn turn, Upstream upstream, Optional<StreamAttempt> attempt) {
		exchange.markReserved();
		this.state.tokens.reserve(turn.program(), exchange.run(), turn.maxTokens());
		this.state.write(new LedgerEntry.Reserved(exchange.run(), turn.program(), turn.maxTokens(),
				upstream.incarnationId(), exchange.head().prompt(), false, attempt));
	}

	/**
	 * Retries a request, if its route, its deadline and its execution so far allow it,
	 * and fails the exchange otherwise.
	 * @param exchange the exchange
	 */
	void retry(Exchange exchange) {
		boolean allowed = !exchange.mayHaveRun() || exchange.route().repeatable();
		boolean poison = this.state.isPoison(exchange);
		boolean finishes = this.drain.canFinish(exchange);
		if (allowed && !poison && finishes && exchange.sendCount() < exchange.route().maxAttempts()
				&& this.state.now < exchange.deadline()) {
			List<RankedUpstream> next = rank(exchange);
			if (!next.isEmpty()) {
				send(exchange, next);
				return;
			}
		}
		if (poison && !exchange.mayHaveRun()) {
			refusePoison(exchange);
			return;
		}
		if (!finishes && !exchange.mayHaveRun()) {
			this.completion.giveUp(exchange, Refusal.DRAINING);
			return;
		}
		this.completion.giveUp(exchange, reasonWithoutUpstream(exchange));
	}

	private Refusal reasonWithoutUpstream(Exchange exchange) {
		boolean expired = this.state.now >= exchange.deadline();
		if (exchange.mayHaveRun()) {
			return expired ? Refusal.NO_ANSWER_IN_TIME : Refusal.ANSWER_LOST;
		}
		return expired ? Refusal.EXPIRED : noUpstream(exchange);
	}

	private Refusal noUpstream(Exchange exchange) {
		return this.streams.isVersionGone(exchange) ? Refusal.VERSION_GONE : Refusal.NO_UPSTREAM;
	}

}
