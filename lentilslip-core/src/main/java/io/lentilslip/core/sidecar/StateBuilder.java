package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.LogView;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.TimerQueue;
import io.lentilslip.core.share.FairQueue;
import io.lentilslip.core.sidecar.SidecarState.SessionPhase;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;

/**
 * Mutable copy of a {@link SidecarState} that collects the changes and effects of one
 * event. Confined to one application of the reducer and its thread.
 */
final class StateBuilder {

	final ProcessId self;

	final ZoneName zone;

	final Instant now;

	Optional<ActiveConfiguration> configuration;

	LogView log;

	Map<ProcessId, Set<AttemptId>> openAttempts;

	Map<JobKey, Job> jobs;

	Map<AttemptId, JobKey> jobsByAttempt;

	Map<RunId, JobKey> runs;

	Map<Digest, Set<JobKey>> awaitingCrashRecord;

	Optional<JobKey> isolatedJob;

	FairQueue<JobKey, JobKey> queue;

	Map<ProgramId, Home> homes;

	Map<AttemptId, ProgramId> programsByWaitingAttempt;

	Vector<IncomingAttempt> awaitingLog;

	Map<AppendId, LedgerRecord> appends;

	Set<CallKey> uncertainReleases;

	Map<ProgramId, SessionPhase> sessions;

	UpstreamView upstream;

	TimerQueue<SidecarTimer> timers;

	Optional<LinkMessage.LoadReport> lastReport;

	Instant lastMeasured;

	long nextNumber;

	boolean draining;

	boolean stopped;

	private final List<SidecarEffect> effects = new ArrayList<>();

	StateBuilder(SidecarState state, Instant now) {
		this.now = now;
		this.self = state.self;
		this.zone = state.zone;
		this.configuration = state.configuration;
		this.log = state.log;
		this.openAttempts = state.openAttempts;
		this.jobs = state.jobs;
		this.jobsByAttempt = state.jobsByAttempt;
		this.runs = state.runs;
		this.awaitingCrashRecord = state.awaitingCrashRecord;
		this.isolatedJob = state.isolatedJob;
		this.queue = state.queue;
		this.homes = state.homes;
		this.programsByWaitingAttempt = state.programsByWaitingAttempt;
		this.awaitingLog = state.awaitingLog;
		this.appends = state.appends;
		this.uncertainReleases = state.uncertainReleases;
		this.sessions = state.sessions;
		this.upstream = state.upstream;
		this.timers = state.timers;
		this.lastReport = state.lastReport;
		this.lastMeasured = state.lastMeasured;
		this.nextNumber = state.nextNumber;
		this.draining = state.draining;
		this.stopped = state.stopped;
	}

	Step<SidecarState, SidecarEffect> toStep() {
		return new Step<>(new SidecarState(this), this.effects);
	}

	void emit(SidecarEffect effect) {
		this.effects.add(effect);
	}

	void emit(NodeEffect effect) {
		this.effects.add(new SidecarEffect.ForNode(effect));
	}

	void send(ProcessId entry, LinkMessage.FromSidecar message) {
		emit(new SidecarEffect.Send(entry, message));
	}

	void report(Notice notice) {
		emit(new NodeEffect.WriteNotice(notice));
	}

	void measure(Measurement measurement) {
		emit(new NodeEffect.RecordMeasurement(measurement));
	}

	void append(LedgerRecord record) {
		AppendId id = new AppendId(nextNumber());
		this.appends = this.appends.put(id, record);
		emit(new NodeEffect.AppendRecord(id, record));
	}

	void schedule(Duration delay, SidecarTimer duty) {
		scheduleAt(this.now.plus(delay), duty);
	}

	void scheduleAt(Instant time, SidecarTimer duty) {
		this.timers = this.timers.with(time, duty);
	}

	long nextNumber() {
		long number = this.nextNumber;
		this.nextNumber = number + 1;
		return number;
	}

	Optional<Job> job(JobKey key) {
		return this.jobs.get(key).toJavaOptional();
	}

	Optional<Home> home(ProgramId program) {
		return this.homes.get(program).toJavaOptional();
	}

	void put(Job job) {
		this.jobs = this.jobs.put(job.key(), job);
	}

	void put(Home home) {
		this.homes = this.homes.put(home.program(), home);
	}

	/**
	 * Returns whether an attempt is open: received, but without an outcome.
	 * @param attempt the attempt
	 * @return whether it is open
	 */
	boolean isOpen(AttemptId attempt) {
		return this.jobsByAttempt.containsKey(attempt) || this.programsByWaitingAttempt.containsKey(attempt)
				|| this.awaitingLog.exists((incoming) -> incoming.attempt().equals(attempt));
	}

	void addOpenAttempt(ProcessId entry, AttemptId attempt) {
		Set<AttemptId> open = this.openAttempts.getOrElse(entry, HashSet.empty());
		this.openAttempts = this.openAttempts.put(entry, open.add(attempt));
	}

	void finish(ProcessId entry, AttemptId attempt, CallOutcome outcome) {
		removeAttempt(entry, attempt);
		send(entry, new LinkMessage.Finished(attempt, outcome));
	}

	void removeAttempt(ProcessId entry, AttemptId attempt) {
		this.jobsByAttempt = this.jobsByAttempt.remove(attempt);
		this.programsByWaitingAttempt = this.programsByWaitingAttempt.remove(attempt);
		Set<AttemptId> open = this.openAttempts.getOrElse(entry, HashSet.empty());
		if (open.contains(attempt)) {
			this.openAttempts = this.openAttempts.put(entry, open.remove(attempt));
		}
	}

	void refuse(IncomingAttempt incoming, CallFailure failure) {
		finish(incoming.entry(), incoming.attempt(), new CallOutcome.Failed(failure));
	}

	void finishAll(Job job, CallOutcome outcome) {
		job.listeners().forEach((listener) -> finish(listener.entry(), listener.attempt(), outcome));
	}

}
