package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.retry.RetryBudget;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.role.TimerQueue;

/**
 * Rules for timers, configuration, membership and shutdown. Confined to one application
 * of the reducer.
 */
final class NodeRules {

	private static final Duration MEASURING_INTERVAL = Duration.ofSeconds(1);

	private final Draft draft;

	private final RouteRules routes;

	private final BudgetRules budgets;

	NodeRules(Draft draft, RouteRules routes) {
		this.draft = draft;
		this.routes = routes;
		this.budgets = new BudgetRules(draft, routes);
	}

	void handle(NodeEvent event) {
		switch (event) {
			case NodeEvent.ConfigurationAccepted accepted -> accept(accepted);
			case NodeEvent.VmListRead read -> vmListRead(read);
			case NodeEvent.Ticked ticked -> tick();
			case NodeEvent.StopRequested requested -> stop();
		}
	}

	private void accept(NodeEvent.ConfigurationAccepted event) {
		if (this.draft.activeConfiguration.filter((active) -> active.version() >= event.version()).isPresent()) {
			return;
		}
		Configuration configuration = event.configuration();
		this.draft.activeConfiguration = Optional.of(new ActiveConfiguration(event.version(), configuration));
		this.draft.retries = RetryBudget.of(configuration.limits().faults().retryPercent(),
				RetryBudget.DEFAULT_CAPACITY);
		for (Peer peer : this.draft.peers.values()) {
			if (configuration.upstream(peer.policy().vm()).isEmpty()) {
				disconnect(peer);
			}
		}
		configuration.upstreams().forEach(this::connect);
		this.draft.waitingByRoute.keySet().forEach(this.routes::reroute);
		this.budgets.configurationChanged();
	}

	private void connect(UpstreamPolicy policy) {
		Optional<Peer> known = this.draft.peer(policy.vm());
		if (known.isPresent() && known.get().policy().sidecar().equals(policy.sidecar())) {
			this.draft.remove(known.get());
			this.draft.put(known.get().with(policy));
			return;
		}
		known.ifPresent(this::disconnect);
		this.draft.put(Peer.of(policy, this.draft.now));
		this.draft.emit(new EntryEffect.Connect(policy.vm(), policy.sidecar()));
	}

	private void disconnect(Peer peer) {
		this.draft.remove(peer);
		this.draft.emit(new EntryEffect.Disconnect(peer.policy().vm()));
		this.routes.linkLost(peer.policy().vm());
	}

	private void vmListRead(NodeEvent.VmListRead event) {
		for (Peer peer : this.draft.peers.values()) {
			boolean draining = event.draining().contains(peer.policy().vm());
			if (draining != peer.listedDraining()) {
				this.draft.put(peer.withListedDraining(draining));
			}
		}
	}

	private void tick() {
		TimerQueue.DueItems<Timer> due = this.draft.timers.pollDue(this.draft.now);
		this.draft.timers = due.remaining();
		due.items().forEach(this::fire);
		measure();
	}

	private void fire(Timer timer) {
		switch (timer) {
			case Timer.CallDeadline deadline -> this.routes.expireCall(deadline.ticket());
			case Timer.RouteRetry retry -> this.routes.reroute(retry.ticket());
			case Timer.ClaimRetry retry -> this.routes.retryClaim(retry.route(), retry.record());
			case Timer.ClaimTimeout timeout -> this.routes.expireClaim(timeout.route(), timeout.claim());
			case Timer.SliceRetry retry -> this.budgets.retryAppend(retry.record());
			case Timer.SliceTimeout timeout -> this.budgets.expireSliceWait(timeout.ticket());
			case Timer.ProgramRequestTimeout timeout ->
				new CallerRules(this.draft).expireProgramRequest(timeout.ticket());
		}
	}

	private void measure() {
		if (Duration.between(this.draft.lastMeasured, this.draft.now).compareTo(MEASURING_INTERVAL) < 0) {
			return;
		}
		this.draft.lastMeasured = this.draft.now;
		this.budgets.tick();
		this.budgets.measure();
		int linked = this.draft.peers.values().count((peer) -> peer.process().isPresent());
		this.draft
			.measure(new Measurement.LinkState(Measurement.LinkState.Kind.SIDECAR, linked, this.draft.peers.size()));
		measureSize(CollectionName.WAITING_CALLS, this.draft.calls.size() - this.draft.attempts.size());
		measureSize(CollectionName.RUNNING_CALLS, this.draft.attempts.size());
		measureSize(CollectionName.PROGRAMS, this.draft.log.ledger().programCount());
		measureSize(CollectionName.IDEMPOTENCY_RECORDS, this.draft.log.ledger().claimCount());
		measureSize(CollectionName.CRASH_RECORDS, this.draft.log.ledger().crashRecordCount());
		measureSize(CollectionName.UPSTREAMS, this.draft.peers.size());
		measureSize(CollectionName.APPEND_QUEUE, this.draft.pendingAppends.size());
	}

	private void measureSize(CollectionName name, long size) {
		this.draft.measure(new Measurement.CollectionSize(name, size, 0));
	}

	private void stop() {
		if (!this.draft.stopping) {
			this.draft.stopping = true;
			this.draft.report(NoticeCode.DRAINING_BEGAN.with(FieldName.COUNT, this.draft.calls.size()));
		}
	}

	/**
	 * Stops a process that is shutting down once all requests are answered.
	 */
	void stopIfDone() {
		if (!this.draft.stopping || this.draft.stopped || !this.draft.calls.isEmpty()
				|| !this.draft.programRequests.isEmpty()) {
			return;
		}
		this.draft.stopped = true;
		this.draft.report(NoticeCode.DRAINING_ENDED.with(FieldName.COUNT, 0));
		this.draft.emit(new NodeEffect.Stopped());
	}

}
