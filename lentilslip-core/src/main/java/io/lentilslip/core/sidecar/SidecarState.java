package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.configuration.Limits.QueueLimits;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.LogView;
import io.lentilslip.core.role.TimerQueue;
import io.lentilslip.core.share.FairQueue;
import io.lentilslip.core.share.Ordering;
import io.lentilslip.core.share.QueueBounds;
import io.lentilslip.core.share.Shares;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;

/**
 * Immutable state of a sidecar. A job in the stage {@code Running} is in the map of runs
 * and not in the queue; a queued job is in the queue; each attempt without an outcome
 * belongs to exactly one of: a job, the waiting calls of a home, the attempts that wait
 * for the log. Safe for use by several threads.
 */
public final class SidecarState {

	private static final int NO_CONFIGURATION_VERSION = -1;

	final ProcessId self;

	final ZoneName zone;

	final Optional<ActiveConfiguration> configuration;

	final LogView log;

	final Map<ProcessId, Set<AttemptId>> openAttempts;

	final Map<JobKey, Job> jobs;

	final Map<AttemptId, JobKey> jobsByAttempt;

	final Map<RunId, JobKey> runs;

	final Map<Digest, Set<JobKey>> awaitingCrashRecord;

	final Optional<JobKey> isolatedJob;

	final FairQueue<JobKey, JobKey> queue;

	final Map<ProgramId, Home> homes;

	final Map<AttemptId, ProgramId> programsByWaitingAttempt;

	final Vector<IncomingAttempt> awaitingLog;

	final Map<AppendId, LedgerRecord> appends;

	final Set<CallKey> uncertainReleases;

	final Map<ProgramId, SessionPhase> sessions;

	final UpstreamView upstream;

	final TimerQueue<SidecarTimer> timers;

	final Optional<LinkMessage.LoadReport> lastReport;

	final Instant lastMeasured;

	final long nextNumber;

	final boolean draining;

	final boolean stopped;

	private SidecarState(ProcessId self, ZoneName zone) {
		this.self = self;
		this.zone = zone;
		this.configuration = Optional.empty();
		this.log = LogView.empty();
		this.openAttempts = HashMap.empty();
		this.jobs = HashMap.empty();
		this.jobsByAttempt = HashMap.empty();
		this.runs = HashMap.empty();
		this.awaitingCrashRecord = HashMap.empty();
		this.isolatedJob = Optional.empty();
		this.queue = FairQueue.create(Ordering.FairShare.DEFAULT, Shares.EQUAL,
				QueueBounds.of(QueueLimits.DEFAULT.callsInAll(), QueueLimits.DEFAULT.callsPerGroup()));
		this.homes = HashMap.empty();
		this.programsByWaitingAttempt = HashMap.empty();
		this.awaitingLog = Vector.empty();
		this.appends = HashMap.empty();
		this.uncertainReleases = HashSet.empty();
		this.sessions = HashMap.empty();
		this.upstream = UpstreamView.unknown();
		this.timers = TimerQueue.empty();
		this.lastReport = Optional.empty();
		this.lastMeasured = Instant.EPOCH;
		this.nextNumber = 1;
		this.draining = false;
		this.stopped = false;
	}

	SidecarState(StateBuilder builder) {
		this.self = builder.self;
		this.zone = builder.zone;
		this.configuration = builder.configuration;
		this.log = builder.log;
		this.openAttempts = builder.openAttempts;
		this.jobs = builder.jobs;
		this.jobsByAttempt = builder.jobsByAttempt;
		this.runs = builder.runs;
		this.awaitingCrashRecord = builder.awaitingCrashRecord;
		this.isolatedJob = builder.isolatedJob;
		this.queue = builder.queue;
		this.homes = builder.homes;
		this.programsByWaitingAttempt = builder.programsByWaitingAttempt;
		this.awaitingLog = builder.awaitingLog;
		this.appends = builder.appends;
		this.uncertainReleases = builder.uncertainReleases;
		this.sessions = builder.sessions;
		this.upstream = builder.upstream;
		this.timers = builder.timers;
		this.lastReport = builder.lastReport;
		this.lastMeasured = builder.lastMeasured;
		this.nextNumber = builder.nextNumber;
		this.draining = builder.draining;
		this.stopped = builder.stopped;
	}

	/**
	 * Returns the initial state of a sidecar.
	 * @param self the process
	 * @param zone the availability zone it is in
	 * @return the initial state
	 */
	public static SidecarState of(ProcessId self, ZoneName zone) {
		return new SidecarState(self, zone);
	}

	/**
	 * Returns the status shown to operators. Iterates over all homes.
	 * @return the status
	 */
	public SidecarStatus status() {
		return new SidecarStatus(this.self,
				this.configuration.map(ActiveConfiguration::version).orElse((long) NO_CONFIGURATION_VERSION),
				this.log.nextOffset(), this.upstream.reachable(), this.openAttempts.size(), this.queue.size(),
				this.runs.size(), this.configuration.map(ActiveConfiguration::maximumCalls).orElse(0),
				this.homes.size(), this.homes.values().map(Home::pendingCount).sum().intValue(), this.sessions.size(),
				this.upstream.heldTokens(), this.draining);
	}

	/**
	 * The phase of a session in the engine.
	 */
	enum SessionPhase {

		/**
		 * The engine may hold cache of the program.
		 */
		HELD,

		/**
		 * The release has been requested from the engine.
		 */
		RELEASING

	}

}
