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
 * A state in the making: the working copy of one application of the reducer. Confined to
 * that application and the thread that runs it.
 */
final class Draft {

	final ProcessId self;

	final ZoneName zone;

	final Instant now;

	Optional<Setup> setup;

	LogView log;

	Map<ProcessId, Set<AttemptId>> entries;

	Map<JobKey, Job> jobs;

	Map<AttemptId, JobKey> attempts;

	Map<RunId, JobKey> runs;

	Map<Digest, Set<JobKey>> blamed;

	Optional<JobKey> alone;

	FairQueue<JobKey, JobKey> queue;

	Map<ProgramId, Home> homes;

	Map<AttemptId, ProgramId> waiting;

	Vector<Arrival> parked;

	Map<AppendId, LedgerRecord> appends;

	Set<CallKey> unsureReleases;

	Map<ProgramId, SessionPhase> sessions;

	UpstreamView upstream;

	TimerQueue<Duty> agenda;

	Optional<LinkMessage.LoadReport> lastReport;

	Instant lastMeasured;

	long nextNumber;

	boolean stopping;

	boolean stopped;

	private final List<SidecarEffect> effects = new ArrayList<>();

	Draft(SidecarState state, Instant now) {
		this.now = now;
		this.self = state.self;
		this.zone = state.zone;
		this.setup = state.setup;
		this.log = state.log;
		this.entries = state.entries;
		this.jobs = state.jobs;
		this.attempts = state.attempts;
		this.runs = state.runs;
		this.blamed = state.blamed;
		this.alone = state.alone;
		this.queue = state.queue;
		this.homes = state.homes;
		this.waiting = state.waiting;
		this.parked = state.parked;
		this.appends = state.appends;
		this.unsureReleases = state.unsureReleases;
		this.sessions = state.sessions;
		this.upstream = state.upstream;
		this.agenda = state.agenda;
		this.lastReport = state.lastReport;
		this.lastMeasured = state.lastMeasured;
		this.nextNumber = state.nextNumber;
		this.stopping = state.stopping;
		this.stopped = state.stopped;
	}

	Step<SidecarState, SidecarEffect> toStep() {
		return new Step<>(new SidecarState(this), this.effects);
	}

	void run(SidecarEffect effect) {
		this.effects.add(effect);
	}

	void run(NodeEffect effect) {
		this.effects.add(new SidecarEffect.ForNode(effect));
	}

	void send(ProcessId entry, LinkMessage.FromSidecar message) {
		run(new SidecarEffect.Send(entry, message));
	}

	void report(Notice notice) {
		run(new NodeEffect.WriteNotice(notice));
	}

	void measure(Measurement measurement) {
		run(new NodeEffect.RecordMeasurement(measurement));
	}

	void append(LedgerRecord record) {
		AppendId id = new AppendId(nextNumber());
		this.appends = this.appends.put(id, record);
		run(new NodeEffect.AppendRecord(id, record));
	}

	void remind(Duration delay, Duty duty) {
		remindAt(this.now.plus(delay), duty);
	}

	void remindAt(Instant time, Duty duty) {
		this.agenda = this.agenda.with(time, duty);
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
	 * Returns whether an attempt is known and not answered.
	 * @param attempt the attempt
	 * @return whether it is known
	 */
	boolean isOpen(AttemptId attempt) {
		return this.attempts.containsKey(attempt) || this.waiting.containsKey(attempt)
				|| this.parked.exists((arrival) -> arrival.attempt().equals(attempt));
	}

	void opened(ProcessId entry, AttemptId attempt) {
		Set<AttemptId> open = this.entries.getOrElse(entry, HashSet.empty());
		this.entries = this.entries.put(entry, open.add(attempt));
	}

	void finish(ProcessId entry, AttemptId attempt, CallOutcome outcome) {
		closed(entry, attempt);
		send(entry, new LinkMessage.Finished(attempt, outcome));
	}

	void closed(ProcessId entry, AttemptId attempt) {
		this.attempts = this.attempts.remove(attempt);
		this.waiting = this.waiting.remove(attempt);
		Set<AttemptId> open = this.entries.getOrElse(entry, HashSet.empty());
		if (open.contains(attempt)) {
			this.entries = this.entries.put(entry, open.remove(attempt));
		}
	}

	void refuse(Arrival arrival, CallFailure failure) {
		finish(arrival.entry(), arrival.attempt(), new CallOutcome.Failed(failure));
	}

	void finishAll(Job job, CallOutcome outcome) {
		job.listeners().forEach((listener) -> finish(listener.entry(), listener.attempt(), outcome));
	}

}
