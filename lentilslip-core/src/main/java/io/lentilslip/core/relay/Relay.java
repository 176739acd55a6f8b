package io.lentilslip.core.relay;

import java.util.List;

import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.StreamResumed.Source;

/**
 * State machine of a relay: consumes events and returns effects. All decisions of a relay
 * are made here, without reading a clock or doing I/O. An exchange exists from
 * {@link RelayEvent.RequestReceived} until its caller disconnects or exactly one of
 * {@link RelayEffect.SendResponse}, {@link RelayEffect.EndStream},
 * {@link RelayEffect.AbortConnection} and {@link RelayEffect.Refuse} has been returned
 * for it. Used by one thread.
 */
public final class Relay {

	private final RelayState state;

	private final SiteRules site;

	private final RequestRules requests;

	private final BudgetRules budgets;

	private final ResponseRules responses;

	private final LedgerRules ledger;

	private final TextRules texts;

	private final RenewalRules renewals;

	private final QuotaRules quotas;

	private final ExchangeCompletion completion;

	private final DrainRules drain;

	/**
	 * Creates a relay without any state loaded.
	 * @param settings the settings
	 */
	public Relay(RelaySettings settings) {
		this.state = new RelayState(settings);
		this.completion = new ExchangeCompletion(this.state);
		this.budgets = new BudgetRules(this.state, this.completion);
		this.site = new SiteRules(this.state, this.budgets);
		this.texts = new TextRules(this.state, this.completion);
		this.drain = new DrainRules(this.state, this.completion);
		this.requests = new RequestRules(this.state, this.budgets, this.texts, this.completion, this.drain);
		this.quotas = this.requests.quotas();
		this.responses = new ResponseRules(this.state, this.requests, this.texts, this.completion);
		this.renewals = new RenewalRules(this.state);
		this.ledger = new LedgerRules(this.state, this.requests, this.budgets, this.completion, this.renewals);
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @return the effects to execute, in order
	 */
	public List<RelayEffect> handle(RelayEvent event) {
		this.state.advanceTo(event.now());
		switch (event) {
			case RelayEvent.RequestReceived request -> this.requests.requestReceived(request);
			case RelayEvent.AttemptEvent attemptEvent -> this.responses.attemptEvent(attemptEvent);
			case RelayEvent.CallerDisconnected disconnected ->
				this.state.find(disconnected).ifPresent(this.completion::callerDisconnected);
			case RelayEvent.CallerBlocked blocked -> this.state.find(blocked)
				.ifPresent((exchange) -> exchange.callerBlocked(blocked.blocked(), event.now()));
			case RelayEvent.DrainStarted started -> this.drain.started(started);
			case RelayEvent.DrainEnded ignored -> this.drain.ended();
			case RelayEvent.EventLoopDelayed delayed -> this.state.eventLoopDelay = delayed.delay();
			case RelayEvent.TimerFired fired ->
				this.state.find(fired).ifPresent((exchange) -> timerFired(exchange, fired.timer()));
			case RelayEvent.EntriesReceived received -> this.ledger.entriesReceived(received);
			case RelayEvent.ProcessResumed resumed -> {
				this.quotas.processResumed();
				this.site.processResumed(resumed.pause());
			}
			case RelayEvent.LogEndRead read -> {
				this.requests.streams().logEndRead(read.sentAt());
				this.requests.resumeWaiting(Source.LEDGER);
			}
			case RelayEvent.CaughtUp caughtUp -> this.ledger.caughtUp(caughtUp);
			case RelayEvent.SettlementsStored stored -> stored.runs().forEach(this.texts::entryStored);
			case RelayEvent.RenewalsStored stored -> stored.runs().forEach(this.texts::correctionStored);
			case RelayEvent.TextsStored stored -> {
				this.texts.textsStored(stored);
				this.renewals.textsStored(stored);
			}
			case RelayEvent.StreamAttemptsStored stored -> this.responses.streamAttemptsStored(stored);
			case RelayEvent.RenewalRoundStarted ignored -> this.renewals.renewDue();
			case RelayEvent.TurnWritesAcknowledged acknowledged -> acknowledged.runs().forEach(this.texts::endStream);
			case RelayEvent.TextLocationsRequested request -> this.texts.locationsRequested(request);
			case RelayEvent.TextLocationsReceived received -> {
				this.texts.locationsReceived(received);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextsRequested request -> this.texts.textsRequested(request);
			case RelayEvent.TextsReceived received -> {
				this.texts.textsReceived(received);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.TextRead read -> {
				this.texts.textRead(read);
				this.renewals.textRead(read);
				this.requests.dispatchWaiting();
			}
			case RelayEvent.ReservationRequested request -> this.budgets.reservationRequested(request);
			case RelayEvent.UsageReceived usage -> this.ledger.usageReceived(usage);
			case RelayEvent.UsageUnavailable unavailable -> this.ledger.usageUnavailable(unavailable);
			case RelayEvent.LoadsReceived received -> this.state.upstreams.mergeLoads(received.loads(), event.now());
			case RelayEvent.MembershipUpdated updated -> {
				if (this.state.replicas.update(updated.members())) {
					this.quotas.membershipUpdated();
				}
			}
			case RelayEvent.StreamVersionRequested request -> this.requests.streams().versionRequested(request);
			case RelayEvent.StreamVersionReceived received -> {
				this.requests.streams().versionReceived(received);
				this.requests.resumeWaiting(Source.PEER);
			}
			case RelayEvent.PermitsRequested request -> this.quotas.permitsRequested(request);
			case RelayEvent.PermitsGranted granted -> this.quotas.permitsGranted(granted);
			case RelayEvent.SyncRequested request -> this.site.sendSync(request.peer());
			case RelayEvent.LogDecisionReceived decision -> this.ledger.logDecisionReceived(decision);
			case RelayEvent.PeerConnected connected -> {
				this.site.peerConnected(connected.peer());
				this.quotas.peerConnected(connected.peer());
			}
			case RelayEvent.SyncCompleted completed ->
				this.site.syncReceived(completed.peer(), completed.otherRelays());
			case RelayEvent.ListenerStarted started -> this.state.name = started.name();
			case RelayEvent.PeerDisconnected disconnected -> {
				this.site.peerDisconnected(disconnected.peer());
				this.quotas.peerDisconnected(disconnected.peer());
			}
			case RelayEvent.TurnWriteRequested request -> this.texts.storeForPeer(request);
			case RelayEvent.ConnectivityChanged changed -> this.site.connectivityChanged(changed.connectivity());
			case RelayEvent.RouteTableUpdated updated -> {
				this.site.routeTableUpdated(updated.table());
				this.requests.admissions().routeTableUpdated();
			}
			case RelayEvent.UpstreamsReplaced replaced -> this.site.upstreamsReplaced(replaced.upstreams());
			case RelayEvent.UpstreamsConfirmed confirmed -> this.requests.upstreamsConfirmed(confirmed.confirmation());
			case RelayEvent.UpstreamChangesMissed ignored -> this.state.upstreamChangesMissed();
			case RelayEvent.UpstreamUpdated updated -> this.site.upstreamUpdated(updated.upstream());
			case RelayEvent.UpstreamInvalid invalid -> this.site.upstreamInvalid(invalid.id(), invalid.error());
			case RelayEvent.UpstreamRemoved removed -> this.site.upstreamRemoved(removed.id());
			case RelayEvent.UpstreamProbed probed -> this.state.failureRules.upstreamProbed(probed);
		}
		this.site.updateReadiness();
		return this.state.drainEffects();
	}

	/**
	 * Returns the number of exchanges in flight.
	 * @return the number
	 */
	public int inFlight() {
		return this.state.exchanges.size();
	}

	/**
	 * Returns the tokens of a program that are spent or reserved, as far as is known.
	 * @param program the program
	 * @return the tokens
	 */
	long usedTokens(String program) {
		return this.state.tokens.used(program);
	}

	/**
	 * Returns the sizes and bounds of what the relay remembers of requests.
	 * @return the measurements
	 */
	public List<Measurement.CollectionSize> collectionSizes() {
		return List.of(
				new Measurement.CollectionSize(CollectionName.STREAM_VERSIONS, this.state.streamVersions.size(),
						StreamVersions.MAX_STREAMS),
				new Measurement.CollectionSize(CollectionName.RETAINED_TURNS, this.state.retainedTurns.size(),
						RetainedTurns.MAX_TURNS),
				new Measurement.CollectionSize(CollectionName.RETAINED_PROGRAMS, this.state.retainedPrograms.size(),
						this.state.retainedPrograms.maxSize()),
				new Measurement.CollectionSize(CollectionName.REQUEST_TARGETS, this.state.requestTargets.size(),
						RequestTargets.MAX_ENTRIES),
				new Measurement.CollectionSize(CollectionName.CRASH_RECORDS, this.state.poisonRequests.size(),
						(long) PoisonRequests.MAX_FAILED_INCARNATIONS * PoisonRequests.MAX_REQUESTS));
	}

	private void timerFired(Exchange exchange, RelayEvent.TimerKind timer) {
		switch (timer) {
			case DEADLINE -> this.completion.deadlineExceeded(exchange);
			case STREAM_VERSION -> this.requests.versionTimedOut(exchange);
			case UPSTREAM_CONFIRMATION -> this.requests.streams().confirmationTimedOut(exchange);
			case CHAIN_LOOKUP -> this.texts.chainTimedOut(exchange);
			case TEXT_FETCH -> this.texts.textsTimedOut(exchange);
			case BUDGET_DECISION -> this.budgets.decisionTimedOut(exchange);
			case LOG_WRITE -> this.texts.storeTimedOut(exchange);
			case UPSTREAM_IDLE -> this.responses.checkIdle(exchange);
			case PERMIT -> this.quotas.timerFired(exchange);
		}
	}

}
