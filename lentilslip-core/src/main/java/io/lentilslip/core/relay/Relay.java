package io.lentilslip.core.relay;

import java.util.List;

/**
 * The reducer of a relay: takes every event, and returns what is to be done about it. All
 * that a relay decides is decided here; it reads no clock and does no I/O. An exchange is
 * known from {@link RelayEvent.RequestReceived} until one of
 * {@link RelayEffect.SendResponse}, {@link RelayEffect.EndStream},
 * {@link RelayEffect.AbortConnection} or {@link RelayEffect.Refuse} was returned for it,
 * exactly one of which ever is, or until its caller has left. Used by one thread.
 */
public final class Relay {

	private final RelayState state;

	private final SiteRules site;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final ResponseRules answers;

	private final LedgerRules ledger;

	private final TextRules texts;

	private final QuotaRules quotas;

	private final ExchangeCompletion ends;

	/**
	 * Creates a relay that knows nothing yet.
	 * @param settings what it is set to
	 */
	public Relay(RelaySettings settings) {
		this.state = new RelayState(settings);
		this.ends = new ExchangeCompletion(this.state);
		this.budgets = new BudgetRules(this.state, this.ends);
		this.site = new SiteRules(this.state, this.budgets);
		this.texts = new TextRules(this.state, this.ends);
		this.requests = new RequestRules(this.state, this.budgets, this.texts, this.ends);
		this.quotas = this.requests.quotas();
		this.answers = new ResponseRules(this.state, this.requests, this.texts, this.ends);
		this.ledger = new LedgerRules(this.state, this.requests, this.budgets, this.ends);
	}

	/**
	 * Takes an event.
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<RelayEffect> handle(RelayEvent event) {
		this.state.now = event.now();
		switch (event) {
			case RelayEvent.RequestReceived asked -> this.requests.requestReceived(asked);
			case RelayEvent.AttemptEvent attempt -> this.answers.attemptEvent(attempt);
			case RelayEvent.CallerDisconnected left -> this.state.find(left).ifPresent(this.ends::callerDisconnected);
			case RelayEvent.TimerFired reminded ->
				this.state.find(reminded).ifPresent((exchange) -> reminded(exchange, reminded.timer()));
			case RelayEvent.EntriesReceived read -> this.ledger.entriesReceived(read);
			case RelayEvent.ProcessResumed woken -> {
				this.quotas.processResumed();
				this.site.processResumed(woken.pause());
			}
			case RelayEvent.CaughtUp caughtUp -> this.ledger.caughtUp(caughtUp);
			case RelayEvent.SettlementsStored stored -> stored.requests().forEach(this.texts::entryStored);
			case RelayEvent.TextsStored stored -> this.texts.textsStored(stored);
			case RelayEvent.TurnWritesAcknowledged helped -> helped.requests().forEach(this.texts::endStream);
			case RelayEvent.TextLocationsRequested asked -> this.texts.locationsRequested(asked);
			case RelayEvent.TextLocationsReceived told -> {
				this.texts.locationsReceived(told);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextsRequested asked -> this.texts.textsRequested(asked);
			case RelayEvent.TextsReceived told -> {
				this.texts.textsReceived(told);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextRead read -> {
				this.texts.textRead(read);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.ReservationRequested asked -> this.budgets.reservationRequested(asked);
			case RelayEvent.UsageReceived told -> this.ledger.usageReceived(told);
			case RelayEvent.UsageUnavailable unsure -> this.ledger.usageUnavailable(unsure);
			case RelayEvent.LoadsReceived told -> this.state.upstreams.mergeLoads(told.loads(), event.now());
			case RelayEvent.MembershipUpdated read -> {
				if (this.state.replicas.update(read.members())) {
					this.quotas.membershipUpdated();
				}
			}
			case RelayEvent.PermitsRequested asked -> this.quotas.permitsRequested(asked);
			case RelayEvent.PermitsGranted granted -> this.quotas.permitsGranted(granted);
			case RelayEvent.SyncRequested asked -> this.site.sendSync(asked.peer());
			case RelayEvent.LogDecisionReceived told -> this.ledger.logDecisionReceived(told);
			case RelayEvent.PeerConnected linked -> this.site.peerConnected(linked.peer());
			case RelayEvent.SyncCompleted told -> this.site.syncReceived(told.peer(), told.otherRelays());
			case RelayEvent.ListenerStarted opened -> this.state.name = opened.name();
			case RelayEvent.PeerDisconnected lost -> this.site.peerDisconnected(lost.peer());
			case RelayEvent.TurnWriteRequested asked -> this.texts.storeForPeer(asked);
			case RelayEvent.ConnectivityChanged changed -> this.site.connectivityChanged(changed.connectivity());
			case RelayEvent.RouteTableUpdated read -> this.site.routeTableUpdated(read.table());
			case RelayEvent.UpstreamsReplaced read -> this.state.upstreams.replace(read.upstreams());
			case RelayEvent.UpstreamUpdated read -> this.site.upstreamUpdated(read.upstream());
			case RelayEvent.UpstreamInvalid unusable -> this.site.upstreamInvalid(unusable.id(), unusable.problem());
			case RelayEvent.UpstreamRemoved gone -> this.site.upstreamRemoved(gone.id());
		}
		this.site.updateReadiness();
		return this.state.drainEffects();
	}

	/**
	 * Returns how many exchanges are under way.
	 * @return the number
	 */
	public int inFlight() {
		return this.state.exchanges.size();
	}

	private void reminded(Exchange exchange, RelayEvent.TimerKind reminder) {
		switch (reminder) {
			case DEADLINE -> this.ends.deadlineExceeded(exchange);
			case CHAIN_LOOKUP -> this.texts.chainTimedOut(exchange);
			case TEXT_FETCH -> this.texts.textsTimedOut(exchange);
			case BUDGET_DECISION -> this.budgets.decisionTimedOut(exchange);
			case LOG_WRITE -> this.texts.storeTimedOut(exchange);
			case UPSTREAM_IDLE -> this.answers.checkIdle(exchange);
			case PERMIT -> this.quotas.timerFired(exchange);
		}
	}

}
