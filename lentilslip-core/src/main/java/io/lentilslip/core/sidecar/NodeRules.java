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
 * Handles timers, configuration, metrics and the draining of the process. Confined to one
 * application of the reducer.
 */
final class NodeRules {

	private static final Duration METRICS_INTERVAL = Duration.ofSeconds(1);

	private final StateBuilder builder;

	NodeRules(StateBuilder builder) {
		this.builder = builder;
	}

	void handle(NodeEvent event) {
		switch (event) {
			case NodeEvent.ConfigurationAccepted accepted -> configurationAccepted(accepted);
			case NodeEvent.VmListRead read -> {
			}
			case NodeEvent.Ticked ticked -> tick();
			case NodeEvent.StopRequested requested -> startDraining();
		}
	}

	private void configurationAccepted(NodeEvent.ConfigurationAccepted event) {
		if (this.builder.configuration.filter((active) -> active.version() >= event.version()).isPresent()) {
			return;
		}
		Configuration configuration = event.configuration();
		this.builder.configuration = Optional.of(new ActiveConfiguration(event.version(), configuration,
				configuration.upstream(this.builder.self.vm())));
		this.builder.queue = this.builder.queue.withShares(Shares.from(configuration))
			.withBounds(QueueBounds.from(configuration));
		new HomeRules(this.builder).endProgramsWithoutGroup(configuration);
		new QueueRules(this.builder).startJobs();
	}

	private void tick() {
		TimerQueue.DueItems<SidecarTimer> due = this.builder.timers.pollDue(this.builder.now);
		this.builder.timers = due.remaining();
		due.items().forEach(this::handleTimer);
		new QueueRules(this.builder).startJobs();
		reportLoad();
		recordMetrics();
	}

	private void handleTimer(SidecarTimer duty) {
		HomeRules homes = new HomeRules(this.builder);
		switch (duty) {
			case SidecarTimer.CommitTimeout timeout -> homes.commitTimedOut(timeout.key());
			case SidecarTimer.OrphanTimeout orphan -> new EntryRules(this.builder).orphanTimedOut(orphan.key());
			case SidecarTimer.AppendRetry retry -> new LedgerRules(this.builder).retryAppend(retry.record());
			case SidecarTimer.UncertainReleaseExpiry expiry ->
				this.builder.uncertainReleases = this.builder.uncertainReleases.remove(expiry.key());
			case SidecarTimer.SessionReleaseRetry retry -> new SessionRules(this.builder).retryRelease(retry.program());
			case SidecarTimer.ProgramAgeCheck check -> homes.checkAge(check.program());
			case SidecarTimer.LogWaitTimeout timeout -> new EntryRules(this.builder).logWaitTimedOut(timeout.attempt());
			case SidecarTimer.WaitingCallCheck check -> homes.checkWaiting(check.program(), check.attempt());
		}
	}

	private void reportLoad() {
		int limit = (this.builder.upstream.reachable())
				? this.builder.configuration.map(ActiveConfiguration::maximumCalls).orElse(0) : 0;
		LinkMessage.LoadReport report = new LinkMessage.LoadReport(this.builder.queue.size(), this.builder.runs.size(),
				limit, this.builder.upstream.heldTokens(), List.of());
		if (this.builder.lastReport.equals(Optional.of(report))) {
			return;
		}
		this.builder.lastReport = Optional.of(report);
		this.builder.openAttempts.keySet().forEach((entry) -> this.builder.send(entry, report));
	}

	private void recordMetrics() {
		if (Duration.between(this.builder.lastMeasured, this.builder.now).compareTo(METRICS_INTERVAL) < 0) {
			return;
		}
		this.builder.lastMeasured = this.builder.now;
		this.builder
			.measure(new Measurement.QueueLength(Measurement.QueueLength.Kind.SIDECAR, this.builder.queue.size()));
		this.builder.measure(new Measurement.HeldMemory(this.builder.upstream.heldTokens()));
		recordSize(CollectionName.PROGRAMS, this.builder.homes.size());
		recordSize(CollectionName.RUNNING_CALLS, this.builder.runs.size());
		recordSize(CollectionName.IDEMPOTENCY_RECORDS, this.builder.log.ledger().claimCount());
		recordSize(CollectionName.CRASH_RECORDS, this.builder.log.ledger().crashRecordCount());
		recordSize(CollectionName.KV_LEASES, this.builder.sessions.size());
		recordSize(CollectionName.LINKS, this.builder.openAttempts.size());
		recordSize(CollectionName.APPEND_QUEUE, this.builder.appends.size());
	}

	private void recordSize(CollectionName name, long size) {
		this.builder.measure(new Measurement.CollectionSize(name, size, 0));
	}

	private void startDraining() {
		if (this.builder.draining) {
			return;
		}
		this.builder.draining = true;
		this.builder.openAttempts.keySet().forEach((entry) -> this.builder.send(entry, new LinkMessage.Draining()));
		this.builder.report(NoticeCode.DRAINING_BEGAN.with(FieldName.COUNT, this.builder.jobs.size()));
	}

	/**
	 * Stops a draining process once it has no jobs, no uncommitted turns and no engine
	 * cache held for programs.
	 */
	void stopIfDrained() {
		if (!this.builder.draining || this.builder.stopped || !this.builder.jobs.isEmpty()
				|| !this.builder.awaitingLog.isEmpty()) {
			return;
		}
		if (this.builder.homes.values().exists((home) -> home.pendingCount() > 0 || !home.waiting().isEmpty())) {
			return;
		}
		for (ProgramId program : this.builder.sessions.filterValues(SessionPhase.HELD::equals).keySet()) {
			new SessionRules(this.builder).release(program);
		}
		if (this.builder.sessions.isEmpty()) {
			this.builder.stopped = true;
			this.builder.report(NoticeCode.DRAINING_ENDED.with(FieldName.COUNT, 0));
			this.builder.emit(new NodeEffect.Stopped());
		}
	}

}
