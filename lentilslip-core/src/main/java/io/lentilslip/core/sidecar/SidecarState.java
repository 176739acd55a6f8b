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
import io.lentilslip.core.role.Agenda;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.LogView;
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
 * All that a sidecar knows. A job in the stage {@code Running} stands in the map of runs
 * and in no queue; a job that waits stands in the queue; each attempt that is not
 * answered stands in exactly one of: a job, a home's waiting list, the parked ones.
 * Immutable and safe for use by several threads.
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

	final Agenda<SidecarTimer> timers;

	final Optional<LinkMessage.LoadReport> lastReport;

	final Instant lastMeasured;

	final long nextNumber;

	final boolean draining;

	final boolean stopped;

	private SidecarState(ProcessId self, ZoneName zone) {
		this.self = self;
		this.zone = zone;
		this.configuration = Optional.empty();
		this.log = LogView.unread();
		this.openAttempts = HashMap.empty();
		this.jobs = HashMap.empty();
		this.jobsByAttempt = HashMap.empty();
		this.runs = HashMap.empty();
		this.awaitingCrashRecord = HashMap.empty();
		this.isolatedJob = Optional.empty();
		this.queue = FairQueue.create(Ordering.ForFairShare.DEFAULT, Shares.EQUAL,
				QueueBounds.of(QueueLimits.DEFAULT.callsInAll(), QueueLimits.DEFAULT.callsPerGroup()));
		this.homes = HashMap.empty();
		this.programsByWaitingAttempt = HashMap.empty();
		this.awaitingLog = Vector.empty();
		this.appends = HashMap.empty();
		this.uncertainReleases = HashSet.empty();
		this.sessions = HashMap.empty();
		this.upstream = UpstreamView.unknown();
		this.timers = Agenda.empty();
		this.lastReport = Optional.empty();
		this.lastMeasured = Instant.EPOCH;
		this.nextNumber = 1;
		this.draining = false;
		this.stopped = false;
	}

	SidecarState(StateBuilder draft) {
		this.self = draft.self;
		this.zone = draft.zone;
		this.configuration = draft.configuration;
		this.log = draft.log;
		this.openAttempts = draft.openAttempts;
		this.jobs = draft.jobs;
		this.jobsByAttempt = draft.jobsByAttempt;
		this.runs = draft.runs;
		this.awaitingCrashRecord = draft.awaitingCrashRecord;
		this.isolatedJob = draft.isolatedJob;
		this.queue = draft.queue;
		this.homes = draft.homes;
		this.programsByWaitingAttempt = draft.programsByWaitingAttempt;
		this.awaitingLog = draft.awaitingLog;
		this.appends = draft.appends;
		this.uncertainReleases = draft.uncertainReleases;
		this.sessions = draft.sessions;
		this.upstream = draft.upstream;
		this.timers = draft.timers;
		this.lastReport = draft.lastReport;
		this.lastMeasured = draft.lastMeasured;
		this.nextNumber = draft.nextNumber;
		this.draining = draft.draining;
		this.stopped = draft.stopped;
	}

	/**
	 * Returns the state of a sidecar that has just started and knows nothing.
	 * @param self the process
	 * @param zone the availability zone it is in
	 * @return the first state
	 */
	public static SidecarState of(ProcessId self, ZoneName zone) {
		return new SidecarState(self, zone);
	}

	/**
	 * Returns what operators see of this sidecar. Walks over all homes.
	 * @return the status
	 */
	public SidecarStatus status() {
		return new SidecarStatus(this.self,
				this.configuration.map(ActiveConfiguration::version).orElse((long) NO_CONFIGURATION_VERSION),
				this.log.next(), this.upstream.reachable(), this.openAttempts.size(), this.queue.size(),
				this.runs.size(), this.configuration.map(ActiveConfiguration::maximumCalls).orElse(0),
				this.homes.size(), this.homes.values().map(Home::pendingCount).sum().intValue(), this.sessions.size(),
				this.upstream.heldTokens(), this.draining);
	}

	/**
	 * How a session in the engine stands.
	 */
	enum SessionPhase {

		/**
		 * The engine may hold cache for the program.
		 */
		HELD,

		/**
		 * The engine has been told to release it.
		 */
		RELEASING

	}

}
