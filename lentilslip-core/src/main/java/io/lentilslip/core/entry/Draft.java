package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.budget.LogClock;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.placement.Candidate;
import io.lentilslip.core.placement.Candidates;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.retry.RetryBudget;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.LogView;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.TimerQueue;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;

/**
 * Mutable working copy of the entry's state for one application of the reducer. Confined
 * to that application and its thread.
 */
final class Draft {

	final Instant now;

	final ProcessId self;

	final ZoneName zone;

	Optional<ActiveConfiguration> activeConfiguration;

	LogView log;

	Map<VmName, Peer> peers;

	Map<Target, Candidates> candidates;

	Map<Ticket, Call> calls;

	Map<AttemptId, Ticket> attempts;

	Map<VmName, Set<AttemptId>> attemptsByVm;

	Map<Route, Set<Ticket>> waitingByRoute;

	Map<Route, Long> pendingClaims;

	Map<AppendId, LedgerRecord> pendingAppends;

	Map<Ticket, ProgramRequest> programRequests;

	Map<GroupName, Account<Ticket>> accounts;

	Set<GroupName> changedAccounts = HashSet.empty();

	Optional<LogClock> logClock;

	TimerQueue<Timer> timers;

	RetryBudget retries;

	Instant lastMeasured;

	long nextNumber;

	boolean stopping;

	boolean stopped;

	private final List<EntryEffect> effects = new ArrayList<>();

	Draft(EntryState state, Instant now) {
		this.now = now;
		this.self = state.self;
		this.zone = state.zone;
		this.activeConfiguration = state.activeConfiguration;
		this.log = state.log;
		this.peers = state.peers;
		this.candidates = state.candidates;
		this.calls = state.calls;
		this.attempts = state.attempts;
		this.attemptsByVm = state.attemptsByVm;
		this.waitingByRoute = state.waitingByRoute;
		this.pendingClaims = state.pendingClaims;
		this.pendingAppends = state.pendingAppends;
		this.programRequests = state.programRequests;
		this.accounts = state.accounts;
		this.logClock = state.logClock;
		this.timers = state.timers;
		this.retries = state.retries;
		this.lastMeasured = state.lastMeasured;
		this.nextNumber = state.nextNumber;
		this.stopping = state.stopping;
		this.stopped = state.stopped;
	}

	Step<EntryState, EntryEffect> toStep() {
		return new Step<>(new EntryState(this), this.effects);
	}

	void emit(EntryEffect effect) {
		this.effects.add(effect);
	}

	void emit(NodeEffect effect) {
		this.effects.add(new EntryEffect.ForNode(effect));
	}

	void report(Notice notice) {
		emit(new NodeEffect.WriteNotice(notice));
	}

	void measure(Measurement measurement) {
		emit(new NodeEffect.RecordMeasurement(measurement));
	}

	void append(LedgerRecord record) {
		AppendId id = new AppendId(nextNumber());
		this.pendingAppends = this.pendingAppends.put(id, record);
		emit(new NodeEffect.AppendRecord(id, record));
	}

	void startTimer(Duration delay, Timer timer) {
		startTimerAt(this.now.plus(delay), timer);
	}

	void startTimerAt(Instant time, Timer timer) {
		this.timers = this.timers.with(time, timer);
	}

	long nextNumber() {
		long number = this.nextNumber;
		this.nextNumber = number + 1;
		return number;
	}

	AttemptId nextAttempt() {
		return new AttemptId(this.self.incarnation(), nextNumber());
	}

	Optional<Call> call(Ticket ticket) {
		return this.calls.get(ticket).toJavaOptional();
	}

	/**
	 * Removes a call together with its deadline timer. Keeping the timers of answered
	 * calls until they fire would exhaust the memory of a busy entry.
	 * @param call the call
	 */
	void remove(Call call) {
		this.calls = this.calls.remove(call.ticket());
		this.timers = this.timers.without(call.expiresAt(), new Timer.CallDeadline(call.ticket()));
	}

	void put(Call call) {
		this.calls = this.calls.put(call.ticket(), call);
	}

	void put(GroupName group, Account<Ticket> account) {
		this.accounts = this.accounts.put(group, account);
	}

	/**
	 * Puts an account and marks it for {@link BudgetRules#advance}, because its waiting
	 * calls may be admitted or need another slice.
	 * @param group the group
	 * @param account its account
	 */
	void putAndAdvance(GroupName group, Account<Ticket> account) {
		put(group, account);
		this.changedAccounts = this.changedAccounts.add(group);
	}

	Optional<Peer> peer(VmName vm) {
		return this.peers.get(vm).toJavaOptional();
	}

	/**
	 * Puts a peer and updates its placement candidate for every target that its upstream
	 * serves.
	 * @param peer the peer
	 */
	void put(Peer peer) {
		this.peers = this.peers.put(peer.policy().vm(), peer);
		Candidate candidate = peer.toCandidate(this.now);
		for (Target target : targetsOf(peer.policy())) {
			Candidates others = this.candidates.getOrElse(target, Candidates.NONE);
			this.candidates = this.candidates.put(target, others.with(candidate));
		}
	}

	void remove(Peer peer) {
		VmName vm = peer.policy().vm();
		this.peers = this.peers.remove(vm);
		for (Target target : targetsOf(peer.policy())) {
			this.candidates = this.candidates.put(target,
					this.candidates.getOrElse(target, Candidates.NONE).without(vm));
		}
	}

	static List<Target> targetsOf(UpstreamPolicy policy) {
		return switch (policy.kind()) {
			case UpstreamKind.ForEngine engine -> engine.models().stream().<Target>map(Target.ForModel::new).toList();
			case UpstreamKind.ForService service ->
				service.services().stream().<Target>map(Target.ForService::new).toList();
		};
	}

	/**
	 * Updates the placement candidate of an upstream between two load reports.
	 * @param vm the VM of the upstream
	 * @param change the change of the candidate
	 */
	void updateCandidate(VmName vm, UnaryOperator<Candidate> change) {
		peer(vm).ifPresent((peer) -> {
			for (Target target : targetsOf(peer.policy())) {
				this.candidates = this.candidates.put(target,
						this.candidates.getOrElse(target, Candidates.NONE).changed(vm, change));
			}
		});
	}

	/**
	 * Adds a call to the waiting set of its route.
	 * @param call the call
	 */
	void waitForRoute(Call call) {
		put(call.withPhase(new Call.Phase.Waiting()));
		this.waitingByRoute = this.waitingByRoute.put(call.route(),
				this.waitingByRoute.getOrElse(call.route(), HashSet.empty()).add(call.ticket()));
	}

	/**
	 * Removes a call from the waiting set of its route.
	 * @param call the call
	 */
	void removeWaiting(Call call) {
		Set<Ticket> others = this.waitingByRoute.getOrElse(call.route(), HashSet.empty()).remove(call.ticket());
		this.waitingByRoute = (others.isEmpty()) ? this.waitingByRoute.remove(call.route())
				: this.waitingByRoute.put(call.route(), others);
	}

	/**
	 * Removes an attempt from the maps of attempts in flight.
	 * @param sent the attempt
	 */
	void removeAttempt(Call.Phase.Sent sent) {
		VmName vm = sent.sidecar().vm();
		this.attempts = this.attempts.remove(sent.attempt());
		Set<AttemptId> others = this.attemptsByVm.getOrElse(vm, HashSet.empty()).remove(sent.attempt());
		this.attemptsByVm = (others.isEmpty()) ? this.attemptsByVm.remove(vm) : this.attemptsByVm.put(vm, others);
		updateCandidate(vm, Candidate::callEnded);
	}

}
