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
 * All that a sidecar knows. A job in the stage {@code Running} stands in the map of runs
 * and in no queue; a job that waits stands in the queue; each attempt that is not
 * answered stands in exactly one of: a job, a home's waiting list, the parked ones.
 * Immutable and safe for use by several threads.
 */
public final class SidecarState {

	private static final int NOTHING_CONFIGURED = -1;

	final ProcessId self;

	final ZoneName zone;

	final Optional<Setup> setup;

	final LogView log;

	final Map<ProcessId, Set<AttemptId>> entries;

	final Map<JobKey, Job> jobs;

	final Map<AttemptId, JobKey> attempts;

	final Map<RunId, JobKey> runs;

	final Map<Digest, Set<JobKey>> blamed;

	final Optional<JobKey> alone;

	final FairQueue<JobKey, JobKey> queue;

	final Map<ProgramId, Home> homes;

	final Map<AttemptId, ProgramId> waiting;

	final Vector<Arrival> parked;

	final Map<AppendId, LedgerRecord> appends;

	final Set<CallKey> unsureReleases;

	final Map<ProgramId, SessionPhase> sessions;

	final UpstreamView upstream;

	final TimerQueue<Duty> agenda;

	final Optional<LinkMessage.LoadReport> lastReport;

	final Instant lastMeasured;

	final long nextNumber;

	final boolean stopping;

	final boolean stopped;

	private SidecarState(ProcessId self, ZoneName zone) {
		this.self = self;
		this.zone = zone;
		this.setup = Optional.empty();
		this.log = LogView.empty();
		this.entries = HashMap.empty();
		this.jobs = HashMap.empty();
		this.attempts = HashMap.empty();
		this.runs = HashMap.empty();
		this.blamed = HashMap.empty();
		this.alone = Optional.empty();
		this.queue = FairQueue.create(Ordering.FairShare.DEFAULT, Shares.EQUAL,
				QueueBounds.of(QueueLimits.DEFAULT.callsInAll(), QueueLimits.DEFAULT.callsPerGroup()));
		this.homes = HashMap.empty();
		this.waiting = HashMap.empty();
		this.parked = Vector.empty();
		this.appends = HashMap.empty();
		this.unsureReleases = HashSet.empty();
		this.sessions = HashMap.empty();
		this.upstream = UpstreamView.unknown();
		this.agenda = TimerQueue.empty();
		this.lastReport = Optional.empty();
		this.lastMeasured = Instant.EPOCH;
		this.nextNumber = 1;
		this.stopping = false;
		this.stopped = false;
	}

	SidecarState(Draft draft) {
		this.self = draft.self;
		this.zone = draft.zone;
		this.setup = draft.setup;
		this.log = draft.log;
		this.entries = draft.entries;
		this.jobs = draft.jobs;
		this.attempts = draft.attempts;
		this.runs = draft.runs;
		this.blamed = draft.blamed;
		this.alone = draft.alone;
		this.queue = draft.queue;
		this.homes = draft.homes;
		this.waiting = draft.waiting;
		this.parked = draft.parked;
		this.appends = draft.appends;
		this.unsureReleases = draft.unsureReleases;
		this.sessions = draft.sessions;
		this.upstream = draft.upstream;
		this.agenda = draft.agenda;
		this.lastReport = draft.lastReport;
		this.lastMeasured = draft.lastMeasured;
		this.nextNumber = draft.nextNumber;
		this.stopping = draft.stopping;
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
		return new SidecarStatus(this.self, this.setup.map(Setup::version).orElse((long) NOTHING_CONFIGURED),
				this.log.nextOffset(), this.upstream.up(), this.entries.size(), this.queue.size(), this.runs.size(),
				this.setup.map(Setup::maximumCalls).orElse(0), this.homes.size(),
				this.homes.values().map(Home::pending).sum().intValue(), this.sessions.size(),
				this.upstream.heldTokens(), this.stopping);
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
