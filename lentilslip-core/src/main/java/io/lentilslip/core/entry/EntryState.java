package io.lentilslip.core.entry;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.budget.LogClock;
import io.lentilslip.core.configuration.Budget;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.Limits.FaultLimits;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.placement.Candidates;
import io.lentilslip.core.retry.RetryBudget;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.LogView;
import io.lentilslip.core.role.TimerQueue;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;

/**
 * State of an entry. A call is either waiting, in the set of its route or in its group's
 * account, or sent, in the maps of attempts. Immutable and safe for use by several
 * threads.
 */
public final class EntryState {

	private static final int NO_CONFIGURATION_VERSION = -1;

	final ProcessId self;

	final ZoneName zone;

	final Optional<ActiveConfiguration> activeConfiguration;

	final LogView log;

	final Map<VmName, Peer> peers;

	final Map<Target, Candidates> candidates;

	final Map<Ticket, Call> calls;

	final Map<AttemptId, Ticket> attempts;

	final Map<VmName, Set<AttemptId>> attemptsByVm;

	final Map<Route, Set<Ticket>> waitingByRoute;

	final Map<Route, Long> pendingClaims;

	final Map<AppendId, LedgerRecord> pendingAppends;

	final Map<Ticket, ProgramRequest> programRequests;

	final Map<GroupName, Account<Ticket>> accounts;

	final Optional<LogClock> logClock;

	final TimerQueue<Timer> timers;

	final RetryBudget retries;

	final Instant lastMeasured;

	final long nextNumber;

	final boolean stopping;

	final boolean stopped;

	private EntryState(ProcessId self, ZoneName zone) {
		this.self = self;
		this.zone = zone;
		this.activeConfiguration = Optional.empty();
		this.log = LogView.empty();
		this.peers = HashMap.empty();
		this.candidates = HashMap.empty();
		this.calls = HashMap.empty();
		this.attempts = HashMap.empty();
		this.attemptsByVm = HashMap.empty();
		this.waitingByRoute = HashMap.empty();
		this.pendingClaims = HashMap.empty();
		this.pendingAppends = HashMap.empty();
		this.programRequests = HashMap.empty();
		this.accounts = HashMap.empty();
		this.logClock = Optional.empty();
		this.timers = TimerQueue.empty();
		this.retries = RetryBudget.of(FaultLimits.DEFAULT.retryPercent(), RetryBudget.DEFAULT_CAPACITY);
		this.lastMeasured = Instant.EPOCH;
		this.nextNumber = 1;
		this.stopping = false;
		this.stopped = false;
	}

	EntryState(Draft draft) {
		this.self = draft.self;
		this.zone = draft.zone;
		this.activeConfiguration = draft.activeConfiguration;
		this.log = draft.log;
		this.peers = draft.peers;
		this.candidates = draft.candidates;
		this.calls = draft.calls;
		this.attempts = draft.attempts;
		this.attemptsByVm = draft.attemptsByVm;
		this.waitingByRoute = draft.waitingByRoute;
		this.pendingClaims = draft.pendingClaims;
		this.pendingAppends = draft.pendingAppends;
		this.programRequests = draft.programRequests;
		this.accounts = draft.accounts;
		this.logClock = draft.logClock;
		this.timers = draft.timers;
		this.retries = draft.retries;
		this.lastMeasured = draft.lastMeasured;
		this.nextNumber = draft.nextNumber;
		this.stopping = draft.stopping;
		this.stopped = draft.stopped;
	}

	/**
	 * Returns the initial state of an entry.
	 * @param self the process
	 * @param zone the availability zone it is in
	 * @return the state
	 */
	public static EntryState of(ProcessId self, ZoneName zone) {
		return new EntryState(self, zone);
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or an empty result before the first one
	 */
	public Optional<Configuration> configuration() {
		return this.activeConfiguration.map(ActiveConfiguration::configuration);
	}

	/**
	 * Returns the status for operators, in time linear in the number of upstreams.
	 * @return the status
	 */
	public EntryStatus status() {
		List<EntryStatus.Upstream> upstreams = this.peers.values()
			.map(EntryState::view)
			.sortBy(EntryStatus.Upstream::vm)
			.asJava();
		return new EntryStatus(this.self,
				this.activeConfiguration.map(ActiveConfiguration::version).orElse((long) NO_CONFIGURATION_VERSION),
				this.log.nextOffset(), this.log.isReachable(), this.calls.size(), this.log.ledger().programCount(),
				upstreams, groups(), this.stopping);
	}

	private List<EntryStatus.Group> groups() {
		return configuration().stream().flatMap((each) -> each.groups().stream()).map(this::view).toList();
	}

	private EntryStatus.Group view(GroupPolicy policy) {
		long used = this.log.ledger()
			.budget(policy.name())
			.map((state) -> this.logClock.map((each) -> state.advanceTo(each.logTime(this.lastMeasured)))
				.orElse(state)
				.reserved())
			.orElse(0L);
		return new EntryStatus.Group(policy.name(), policy.share(), used,
				policy.budget().map((budget) -> budget.splitTo(BudgetRules.MAX_PERIOD)).map(Budget::tokens));
	}

	private static EntryStatus.Upstream view(Peer peer) {
		LinkMessage.LoadReport report = peer.report().orElse(new LinkMessage.LoadReport(0, 0, 0, 0, List.of()));
		return new EntryStatus.Upstream(peer.policy().vm(), peer.policy().zone(), peer.process().isPresent(),
				peer.draining() || peer.listedDraining(), report.queued(), report.running(), report.limit());
	}

}
