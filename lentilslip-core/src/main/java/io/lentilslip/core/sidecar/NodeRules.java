package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.role.TimerQueue;
import io.lentilslip.core.share.QueueBounds;
import io.lentilslip.core.share.Shares;
import io.lentilslip.core.sidecar.SidecarState.SessionPhase;

/**
 * The rules for time, configuration and the end of the process. Confined to one
 * application of the reducer.
 */
final class NodeRules {

	private static final Duration MEASURING_INTERVAL = Duration.ofSeconds(1);

	private final Draft draft;

	NodeRules(Draft draft) {
		this.draft = draft;
	}

	void happened(NodeEvent event) {
		switch (event) {
			case NodeEvent.ConfigurationAccepted accepted -> accept(accepted);
			case NodeEvent.VmListRead read -> {
			}
			case NodeEvent.Ticked ticked -> tick();
			case NodeEvent.StopRequested requested -> stop();
		}
	}

	private void accept(NodeEvent.ConfigurationAccepted event) {
		if (this.draft.setup.filter((setup) -> setup.version() >= event.version()).isPresent()) {
			return;
		}
		Configuration configuration = event.configuration();
		this.draft.setup = Optional
			.of(new Setup(event.version(), configuration, configuration.upstream(this.draft.self.vm())));
		this.draft.queue = this.draft.queue.withShares(Shares.from(configuration))
			.withBounds(QueueBounds.from(configuration));
		new HomeRules(this.draft).endWithoutGroup(configuration);
		new QueueRules(this.draft).pump();
	}

	private void tick() {
		TimerQueue.DueItems<Duty> due = this.draft.agenda.pollDue(this.draft.now);
		this.draft.agenda = due.remaining();
		due.items().forEach(this::fulfil);
		new QueueRules(this.draft).pump();
		reportLoad();
		measure();
	}

	private void fulfil(Duty duty) {
		HomeRules homes = new HomeRules(this.draft);
		switch (duty) {
			case Duty.TellOutcome tell -> homes.tellOutcome(tell.key());
			case Duty.StopOrphan orphan -> new EntryRules(this.draft).stopOrphan(orphan.key());
			case Duty.AppendAgain again -> new LedgerRules(this.draft).appendAgain(again.record());
			case Duty.ForgetRelease forget ->
				this.draft.unsureReleases = this.draft.unsureReleases.remove(forget.key());
			case Duty.ReleaseAgain again -> new SessionRules(this.draft).releaseAgain(again.program());
			case Duty.CheckAge check -> homes.checkAge(check.program());
			case Duty.GiveUpParked parked -> new EntryRules(this.draft).giveUpParked(parked.attempt());
			case Duty.CheckWaiting check -> homes.checkWaiting(check.program(), check.attempt());
		}
	}

	private void reportLoad() {
		int limit = (this.draft.upstream.up()) ? this.draft.setup.map(Setup::maximumCalls).orElse(0) : 0;
		LinkMessage.LoadReport report = new LinkMessage.LoadReport(this.draft.queue.size(), this.draft.runs.size(),
				limit, this.draft.upstream.heldTokens(), List.of());
		if (this.draft.lastReport.equals(Optional.of(report))) {
			return;
		}
		this.draft.lastReport = Optional.of(report);
		this.draft.entries.keySet().forEach((entry) -> this.draft.send(entry, report));
	}

	private void measure() {
		if (Duration.between(this.draft.lastMeasured, this.draft.now).compareTo(MEASURING_INTERVAL) < 0) {
			return;
		}
		this.draft.lastMeasured = this.draft.now;
		this.draft.measure(new Measurement.QueueLength(Measurement.QueueLength.Kind.SIDECAR, this.draft.queue.size()));
		this.draft.measure(new Measurement.HeldMemory(this.draft.upstream.heldTokens()));
		size(CollectionName.PROGRAMS, this.draft.homes.size());
		size(CollectionName.RUNNING_CALLS, this.draft.runs.size());
		size(CollectionName.IDEMPOTENCY_RECORDS, this.draft.log.ledger().claimCount());
		size(CollectionName.CRASH_RECORDS, this.draft.log.ledger().crashRecordCount());
		size(CollectionName.KV_LEASES, this.draft.sessions.size());
		size(CollectionName.LINKS, this.draft.entries.size());
		size(CollectionName.APPEND_QUEUE, this.draft.appends.size());
	}

	private void size(CollectionName name, long size) {
		this.draft.measure(new Measurement.CollectionSize(name, size, 0));
	}

	private void stop() {
		if (this.draft.stopping) {
			return;
		}
		this.draft.stopping = true;
		this.draft.entries.keySet().forEach((entry) -> this.draft.send(entry, new LinkMessage.Draining()));
		this.draft.report(NoticeCode.DRAINING_BEGAN.with(FieldName.COUNT, this.draft.jobs.size()));
	}

	/**
	 * Ends the process once nothing is under way: no job, no turn that only this process
	 * holds, and no engine memory held for programs that will go on elsewhere.
	 */
	void stopIfDone() {
		if (!this.draft.stopping || this.draft.stopped || !this.draft.jobs.isEmpty() || !this.draft.parked.isEmpty()) {
			return;
		}
		if (this.draft.homes.values().exists((home) -> home.pending() > 0 || !home.waiting().isEmpty())) {
			return;
		}
		for (ProgramId program : this.draft.sessions.filterValues(SessionPhase.HELD::equals).keySet()) {
			new SessionRules(this.draft).release(program);
		}
		if (this.draft.sessions.isEmpty()) {
			this.draft.stopped = true;
			this.draft.report(NoticeCode.DRAINING_ENDED.with(FieldName.COUNT, 0));
			this.draft.run(new NodeEffect.Stopped());
		}
	}

}
