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
 * The rules for time, configuration, membership and the end of the process. Confined to
 * one application of the reducer.
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

	void happened(NodeEvent event) {
		switch (event) {
			case NodeEvent.ConfigurationAccepted accepted -> accept(accepted);
			case NodeEvent.VmListRead read -> listed(read);
			case NodeEvent.Ticked ticked -> tick();
			case NodeEvent.StopRequested requested -> stop();
		}
	}

	private void accept(NodeEvent.ConfigurationAccepted event) {
		if (this.draft.setup.filter((setup) -> setup.version() >= event.version()).isPresent()) {
			return;
		}
		Configuration configuration = event.configuration();
		this.draft.setup = Optional.of(new Setup(event.version(), configuration));
		this.draft.retries = RetryBudget.of(configuration.limits().faults().retryPercent(), RetryBudget.DEFAULT_BOUND);
		for (Peer peer : this.draft.peers.values()) {
			if (configuration.upstream(peer.policy().vm()).isEmpty()) {
				disconnect(peer);
			}
		}
		configuration.upstreams().forEach(this::connect);
		this.draft.waiting.keySet().forEach(this.routes::lookAgain);
		this.budgets.configured();
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
		this.draft.run(new EntryEffect.Connect(policy.vm(), policy.sidecar()));
	}

	private void disconnect(Peer peer) {
		this.draft.remove(peer);
		this.draft.run(new EntryEffect.Disconnect(peer.policy().vm()));
		this.routes.linkLost(peer.policy().vm());
	}

	private void listed(NodeEvent.VmListRead event) {
		for (Peer peer : this.draft.peers.values()) {
			boolean leaving = event.draining().contains(peer.policy().vm());
			if (leaving != peer.listedLeaving()) {
				this.draft.put(peer.listedAsLeaving(leaving));
			}
		}
	}

	private void tick() {
		TimerQueue.DueItems<Duty> due = this.draft.agenda.pollDue(this.draft.now);
		this.draft.agenda = due.remaining();
		due.items().forEach(this::fulfil);
		measure();
	}

	private void fulfil(Duty duty) {
		switch (duty) {
			case Duty.GiveUp giveUp -> this.routes.giveUp(giveUp.ticket());
			case Duty.LookAgain look -> this.routes.lookAgain(look.ticket());
			case Duty.ClaimAgain again -> this.routes.claimAgain(again.route(), again.record());
			case Duty.GiveUpClaim giveUp -> this.routes.giveUpClaim(giveUp.route(), giveUp.claim());
			case Duty.SliceAgain again -> this.budgets.appendAgain(again.record());
			case Duty.GiveUpSlice giveUp -> this.budgets.giveUp(giveUp.ticket());
			case Duty.GiveUpQuestion giveUp -> new CallerRules(this.draft).giveUpQuestion(giveUp.ticket());
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
		size(CollectionName.WAITING_CALLS, this.draft.calls.size() - this.draft.attempts.size());
		size(CollectionName.RUNNING_CALLS, this.draft.attempts.size());
		size(CollectionName.PROGRAMS, this.draft.log.ledger().programCount());
		size(CollectionName.IDEMPOTENCY_RECORDS, this.draft.log.ledger().claimCount());
		size(CollectionName.CRASH_RECORDS, this.draft.log.ledger().crashRecordCount());
		size(CollectionName.UPSTREAMS, this.draft.peers.size());
		size(CollectionName.APPEND_QUEUE, this.draft.appends.size());
	}

	private void size(CollectionName name, long size) {
		this.draft.measure(new Measurement.CollectionSize(name, size, 0));
	}

	private void stop() {
		if (!this.draft.stopping) {
			this.draft.stopping = true;
			this.draft.report(NoticeCode.DRAINING_BEGAN.with(FieldName.COUNT, this.draft.calls.size()));
		}
	}

	/**
	 * Ends the process once every caller has its answer.
	 */
	void stopIfDone() {
		if (!this.draft.stopping || this.draft.stopped || !this.draft.calls.isEmpty()
				|| !this.draft.questions.isEmpty()) {
			return;
		}
		this.draft.stopped = true;
		this.draft.report(NoticeCode.DRAINING_ENDED.with(FieldName.COUNT, 0));
		this.draft.run(new NodeEffect.Stopped());
	}

}
