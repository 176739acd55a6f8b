package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.ClaimState;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.ProgramState;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.placement.Candidate;
import io.lentilslip.core.placement.Candidates;
import io.lentilslip.core.placement.Placement;
import io.lentilslip.core.placement.PlacementRequest;
import io.lentilslip.core.retry.RetryBudget;
import io.lentilslip.core.retry.RetryDecision;
import io.lentilslip.core.retry.RetryPolicy;
import io.lentilslip.core.retry.RetryPolicy.FailedAttempts;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;

/**
 * Rules that select the sidecar of a call and handle failed attempts. Confined to one
 * application of the reducer.
 */
final class RouteRules {

	/**
	 * Time after the deadline in which the sidecar may still report whether the call ran.
	 */
	static final Duration DEADLINE_GRACE = Duration.ofMillis(250);

	private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(3);

	private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration REROUTE_DELAY = Duration.ofMillis(50);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int MAX_ATTEMPTS = 6;

	private static final int ASSUMED_ENTRIES = 2;

	private static final int ROUNDS_FOR_FULL_READ = 2;

	private final Draft draft;

	private final long seed;

	RouteRules(Draft draft, long seed) {
		this.draft = draft;
		this.seed = seed;
	}

	/**
	 * Sends a call, lets it wait for the log or a link, or completes it.
	 * @param call a call that is neither sent nor waiting
	 */
	void route(Call call) {
		switch (call.route()) {
			case Route.ForHome route -> routeToHome(call, route);
			case Route.ForClaim route -> routeToExecutor(call, route);
			case Route.ForAny route -> routeToAny(call);
		}
	}

	private void routeToHome(Call call, Route.ForHome route) {
		Optional<ProgramState> known = this.draft.log.ledger().program(route.program());
		if (known.isEmpty()) {
			claimFirstHome(call, route);
			return;
		}
		ProgramState state = known.get();
		if (state.endReason().isPresent()) {
			refuse(call, CallFailure.ofEndedProgram(call.request(), state.lastCall()));
			return;
		}
		Optional<Peer> peer = this.draft.peer(state.home().vm()).filter((each) -> serves(each, call));
		if (peer.isEmpty() || isOtherIncarnation(peer.get(), state.home())) {
			claimHome(call, route, state.epoch().next(), Optional.empty());
			return;
		}
		if (peer.get().isLinkedTo(state.home())) {
			send(call, state.home(),
					new ExecutionAuthority.ForHome(state.home(), state.epoch(), state.claimPosition().offset()),
					state.epoch());
			return;
		}
		Instant takeover = peer.get().since().plus(TAKEOVER_DELAY);
		if (takeover.isAfter(this.draft.now)) {
			waitUntil(takeover, call);
			return;
		}
		claimHome(call, route, state.epoch().next(), Optional.of(state.home().vm()));
	}

	// The ledger always voids the first claim of a sub-agent whose parent has ended.
	// Without this check the call would append claims until its deadline.
	private void claimFirstHome(Call call, Route.ForHome route) {
		boolean parentEnded = call.request()
			.programCall()
			.flatMap(ProgramCall::parent)
			.flatMap(this.draft.log.ledger()::program)
			.flatMap(ProgramState::endReason)
			.isPresent();
		if (parentEnded) {
			refuse(call, CallFailure.ofEndedProgram(call.request(), 0));
			return;
		}
		claimHome(call, route, Epoch.NONE.next(), Optional.empty());
	}

	private static boolean isOtherIncarnation(Peer peer, ProcessId expected) {
		return peer.process().isPresent() && !peer.isLinkedTo(expected);
	}

	private static boolean serves(Peer peer, Call call) {
		return Draft.targetsOf(peer.policy()).contains(Target.of(call.request()));
	}

	private void routeToExecutor(Call call, Route.ForClaim route) {
		Optional<ClaimState> known = this.draft.log.ledger().claim(route.key());
		if (known.isEmpty()) {
			claimCall(call, route);
			return;
		}
		ClaimState claim = known.get();
		if (!claim.content().equals(call.request().contentDigest())) {
			refuse(call, CallFailure.notRun(FailureCause.KEY_REUSED,
					"This idempotency key was used for a call with different content."));
			return;
		}
		if (claim.outcome().isPresent()) {
			new CompletionRules(this.draft).complete(call, claim.outcome().get());
			return;
		}
		Optional<Peer> peer = this.draft.peer(claim.executor().vm());
		if (peer.isEmpty() || isOtherIncarnation(peer.get(), claim.executor())) {
			// The executor has restarted or was removed without recording an outcome. The
			// call may have run, so it must not run elsewhere.
			refuse(call, CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
					"The process assigned to the request is no longer available and recorded no outcome."));
			return;
		}
		if (peer.get().isLinkedTo(claim.executor())) {
			send(call, claim.executor(), new ExecutionAuthority.ForClaimedCall(route.key(), claim.executor(),
					claim.claimPosition().offset()), Epoch.NONE);
			return;
		}
		Instant retryUntil = peer.get().since().plus(TAKEOVER_DELAY);
		if (retryUntil.isAfter(this.draft.now)) {
			waitUntil(retryUntil, call);
			return;
		}
		refuse(call,
				CallFailure
					.mayHaveRun(FailureCause.OUTCOME_UNKNOWN, "The process assigned to the request is unreachable.")
					.retryAfter(RETRY_AFTER));
	}

	private void routeToAny(Call call) {
		Optional<ProcessId> sidecar = choose(call, Optional.empty());
		if (sidecar.isEmpty()) {
			refuse(call, noUpstream());
			return;
		}
		send(call, sidecar.get(), new ExecutionAuthority.ForSingleCall(), Epoch.NONE);
	}

	private static CallFailure noUpstream() {
		return CallFailure.notRun(FailureCause.NO_UPSTREAM, "No upstream is available for this request.")
			.retryAfter(RETRY_AFTER);
	}

	private Optional<ProcessId> choose(Call call, Optional<VmName> excluded) {
		Candidates all = this.draft.candidates.getOrElse(Target.of(call.request()), Candidates.NONE);
		Candidates candidates = excluded.map(all::without).orElse(all);
		PlacementRequest request = new PlacementRequest(this.draft.zone, List.of(), call.ticket().value(),
				this.seed ^ call.ticket().value(), ASSUMED_ENTRIES);
		return Placement.Default.STANDARD.choose(candidates, request).flatMap(this.draft::peer).flatMap(Peer::process);
	}

	/**
	 * Claims a home for a program unless a claim is in flight.
	 * @param call the call that needs the home
	 * @param route the route of the program
	 * @param epoch the epoch to claim
	 * @param excluded a VM that must not be selected
	 */
	void claimHome(Call call, Route.ForHome route, Epoch epoch, Optional<VmName> excluded) {
		if (this.draft.pendingClaims.containsKey(route)) {
			this.draft.waitForRoute(call);
			return;
		}
		Optional<ProcessId> home = choose(call, excluded);
		if (home.isEmpty()) {
			refuseUnsent(call, noUpstream());
			return;
		}
		Optional<ProgramId> parent = call.request().programCall().flatMap(ProgramCall::parent);
		claim(call, new LedgerRecord.ProgramClaimed(route.program(), epoch, home.get(), parent));
	}

	private void claimCall(Call call, Route.ForClaim route) {
		if (this.draft.pendingClaims.containsKey(route)) {
			this.draft.waitForRoute(call);
			return;
		}
		Optional<ProcessId> executor = choose(call, Optional.empty());
		if (executor.isEmpty()) {
			refuseUnsent(call, noUpstream());
			return;
		}
		claim(call, new LedgerRecord.CallClaimed(route.key(), call.request().contentDigest(), executor.get()));
	}

	private void claim(Call call, LedgerRecord record) {
		if (!this.draft.log.isReachable()) {
			refuse(call, logUnavailable().combineWith(unsentVerdict(call)));
			return;
		}
		long number = this.draft.nextNumber();
		this.draft.pendingClaims = this.draft.pendingClaims.put(call.route(), number);
		this.draft.waitForRoute(call);
		this.draft.append(record);
		this.draft.startTimer(CLAIM_TIMEOUT, new Timer.ClaimTimeout(call.route(), number));
	}

	private static CallFailure logUnavailable() {
		return CallFailure
			.notRun(FailureCause.LOG_UNAVAILABLE,
					"The request requires the log, which is unreachable or did not confirm the claim in time.")
			.retryAfter(RETRY_AFTER);
	}

	/**
	 * Returns the verdict of a call that this entry has not sent. Another entry may have
	 * sent it unless the log is reachable, has no claim of it, and has been read
	 * completely since the call arrived. A wrong {@code NOT_RUN} would let the caller run
	 * the call twice.
	 * @param call the call
	 * @return the verdict
	 */
	Verdict unsentVerdict(Call call) {
		boolean provenNotRun = !isInLog(call) && this.draft.log.isReachable() && hasReadSinceArrival(call);
		return (provenNotRun) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
	}

	private boolean isInLog(Call call) {
		Ledger ledger = this.draft.log.ledger();
		return switch (call.route()) {
			case Route.ForHome route -> ledger.program(route.program()).isPresent();
			case Route.ForClaim route -> ledger.claim(route.key()).isPresent();
			case Route.ForAny route -> false;
		};
	}

	// The first read that completes after the call's arrival may have started before it.
	private boolean hasReadSinceArrival(Call call) {
		return call.route() instanceof Route.ForAny
				|| this.draft.log.catchUpCount() >= call.arrivalRound() + ROUNDS_FOR_FULL_READ;
	}

	/**
	 * Refuses an unsent call once the log has been read far enough to establish its
	 * verdict.
	 * @param call the call
	 * @param failure the reason of the refusal
	 */
	void refuseUnsent(Call call, CallFailure failure) {
		boolean undetermined = !isInLog(call) && this.draft.log.isReachable() && !hasReadSinceArrival(call)
				&& call.deadline().isAfter(this.draft.now);
		if (!undetermined) {
			refuse(call, failure.combineWith(unsentVerdict(call)));
			return;
		}
		waitUntil(this.draft.now.plus(REROUTE_DELAY), call);
		this.draft.put(call.withPhase(new Call.Phase.RefusalPending(failure)));
	}

	private void refuse(Call call, CallFailure failure) {
		new CompletionRules(this.draft).refuse(call, failure);
	}

	private void waitUntil(Instant time, Call call) {
		this.draft.waitForRoute(call);
		this.draft.startTimerAt(time, new Timer.RouteRetry(call.ticket()));
	}

	private void send(Call call, ProcessId sidecar, ExecutionAuthority standing, Epoch epoch) {
		if (call.attempts() >= MAX_ATTEMPTS) {
			refuse(call, noUpstream().combineWith(unsentVerdict(call)));
			return;
		}
		AttemptId attempt = this.draft.nextAttempt();
		Call sent = call.withPhase(new Call.Phase.Sent(attempt, sidecar, epoch, 0));
		this.draft.removeWaiting(call);
		this.draft.put(sent);
		this.draft.attempts = this.draft.attempts.put(attempt, call.ticket());
		Set<AttemptId> others = this.draft.attemptsByVm.getOrElse(sidecar.vm(), HashSet.empty());
		this.draft.attemptsByVm = this.draft.attemptsByVm.put(sidecar.vm(), others.add(attempt));
		this.draft.updateCandidate(sidecar.vm(), Candidate::callSent);
		Duration left = Duration.between(this.draft.now, call.deadline());
		this.draft.emit(new EntryEffect.Send(sidecar, new LinkMessage.Dispatch(attempt, call.request(), standing,
				(left.isNegative()) ? Duration.ZERO : left, call.delivered().text()), this.draft.now));
	}

	/**
	 * Retries the routing of all calls that wait for a route.
	 * @param route the route
	 */
	void reroute(Route route) {
		for (Ticket ticket : this.draft.waitingByRoute.getOrElse(route, HashSet.empty())) {
			reroute(ticket);
		}
	}

	void reroute(Ticket ticket) {
		this.draft.call(ticket).ifPresent((call) -> {
			switch (call.phase()) {
				case Call.Phase.Waiting waiting -> rerouteUnlessClaiming(call);
				case Call.Phase.RefusalPending refused -> {
					this.draft.removeWaiting(call);
					refuseUnsent(call, refused.failure());
				}
				case Call.Phase.Reserving reserving -> {
				}
				case Call.Phase.Sent sent -> {
				}
			}
		});
	}

	private void rerouteUnlessClaiming(Call call) {
		if (!this.draft.pendingClaims.containsKey(call.route())) {
			this.draft.removeWaiting(call);
			route(call);
		}
	}

	/**
	 * Handles the decision of the ledger on a claim.
	 * @param route the route of the claim
	 */
	void claimDecided(Route route) {
		this.draft.pendingClaims = this.draft.pendingClaims.remove(route);
		reroute(route);
	}

	/**
	 * Appends a claim again unless it has been decided. The ledger voids duplicates.
	 * @param route the route of the claim
	 * @param record the claim
	 */
	void retryClaim(Route route, LedgerRecord record) {
		if (this.draft.pendingClaims.containsKey(route)) {
			this.draft.append(record);
		}
	}

	/**
	 * Refuses the calls that wait for a claim that did not appear in the log in time.
	 * @param route the route of the claim
	 * @param claim the number of the claim
	 */
	void expireClaim(Route route, long claim) {
		if (!this.draft.pendingClaims.get(route).contains(claim)) {
			return;
		}
		this.draft.pendingClaims = this.draft.pendingClaims.remove(route);
		for (Ticket ticket : this.draft.waitingByRoute.getOrElse(route, HashSet.empty())) {
			this.draft.call(ticket)
				.ifPresent((call) -> refuse(call, logUnavailable().combineWith(unsentVerdict(call))));
		}
	}

	/**
	 * Handles a failed attempt.
	 * @param call the call in its sent phase
	 * @param sent the attempt
	 * @param failure the failure
	 */
	void attemptFailed(Call call, Call.Phase.Sent sent, CallFailure failure) {
		this.draft.removeAttempt(sent);
		Call updated = call.withVerdict(failure.verdict()).withPhase(new Call.Phase.Waiting());
		this.draft.put(updated);
		switch (call.route()) {
			case Route.ForHome route -> afterHomeFailure(updated, route, sent, failure);
			case Route.ForClaim route -> afterExecutorFailure(updated, failure);
			case Route.ForAny route -> afterAnyFailure(updated, failure);
		}
	}

	// A turn is committed at most once, so another home may run the call even if this
	// attempt may have run.
	private void afterHomeFailure(Call call, Route.ForHome route, Call.Phase.Sent sent, CallFailure failure) {
		if (call.attempts() >= MAX_ATTEMPTS || !call.deadline().isAfter(this.draft.now)) {
			refuse(call, withUnsentVerdict(call, failure));
			return;
		}
		switch (failure.cause()) {
			case MOVED, NOT_READY -> waitUntil(this.draft.now.plus(REROUTE_DELAY), call);
			case STOPPING, NO_UPSTREAM, UPSTREAM_FAILED -> moveHome(call, route, sent, failure);
			default -> refuse(call, withUnsentVerdict(call, failure));
		}
	}

	private void moveHome(Call call, Route.ForHome route, Call.Phase.Sent sent, CallFailure failure) {
		if (failure.verdict() == Verdict.MAY_HAVE_RUN) {
			Optional<RetryBudget> left = this.draft.retries.afterRetry();
			if (left.isEmpty()) {
				refuse(call, failure);
				return;
			}
			this.draft.retries = left.get();
		}
		Optional<ProgramState> state = this.draft.log.ledger().program(route.program());
		if (state.isPresent() && state.get().epoch().equals(sent.epoch())) {
			claimHome(call, route, sent.epoch().next(), Optional.of(sent.sidecar().vm()));
			return;
		}
		route(call);
	}

	private void afterExecutorFailure(Call call, CallFailure failure) {
		boolean released = failure.verdict() == Verdict.NOT_RUN && call.verdict() == Verdict.NOT_RUN;
		boolean canRetry = released && call.attempts() < MAX_ATTEMPTS && call.deadline().isAfter(this.draft.now);
		switch (failure.cause()) {
			case MOVED, STOPPING, NO_UPSTREAM, UPSTREAM_FAILED, NOT_READY -> {
				if (canRetry) {
					waitUntil(this.draft.now.plus(REROUTE_DELAY), call);
				}
				else {
					refuse(call, withUnsentVerdict(call, failure));
				}
			}
			default -> refuse(call, withUnsentVerdict(call, failure));
		}
	}

	// A sidecar that is not the home or executor, or cannot read the log, knows only that
	// it has not run the call itself.
	private CallFailure withUnsentVerdict(Call call, CallFailure failure) {
		return switch (failure.cause()) {
			case MOVED, NOT_READY, LOG_UNAVAILABLE -> failure.combineWith(unsentVerdict(call));
			default -> failure;
		};
	}

	private void afterAnyFailure(Call call, CallFailure failure) {
		Duration left = Duration.between(this.draft.now, call.deadline());
		FailedAttempts attempts = new FailedAttempts(failure.combineWith(call.verdict()), call.attempts(),
				isRepeatable(call.request()), left);
		switch (RetryPolicy.DEFAULT.decide(attempts, this.draft.retries)) {
			case RetryDecision.GiveUp giveUp -> refuse(call, giveUp.failure());
			case RetryDecision.RetryElsewhere retry -> {
				this.draft.retries = retry.budget();
				this.draft.measure(new Measurement.Retries(Measurement.Retries.Operation.CALL, 1, 0));
				routeToAny(call);
			}
		}
	}

	private boolean isRepeatable(CallRequest request) {
		return switch (request) {
			// A request that was running during an engine crash is not retried
			// automatically. The caller may retry it once the log has recorded the crash.
			case CallRequest.ForModel model -> this.draft.log.ledger().crashCount(model.contentDigest()) == 0;
			case CallRequest.ForService service -> service.repeatable();
		};
	}

	/**
	 * Handles the loss of a link. Calls of homes and executors wait for the link, because
	 * those sidecars know whether they ran them.
	 * @param vm the VM of the sidecar
	 */
	void linkLost(VmName vm) {
		for (AttemptId attempt : this.draft.attemptsByVm.getOrElse(vm, HashSet.empty())) {
			Optional<Call> call = this.draft.attempts.get(attempt).toJavaOptional().flatMap(this.draft::call);
			if (call.isPresent() && call.get().phase() instanceof Call.Phase.Sent sent) {
				attemptLost(call.get(), sent);
			}
		}
	}

	private void attemptLost(Call call, Call.Phase.Sent sent) {
		CallFailure failure = CallFailure.mayHaveRun(FailureCause.UPSTREAM_FAILED,
				"The link to the upstream's sidecar was lost.");
		if (call.route() instanceof Route.ForAny) {
			attemptFailed(call, sent, failure);
			return;
		}
		this.draft.removeAttempt(sent);
		Call updated = call.withVerdict(Verdict.MAY_HAVE_RUN).withPhase(new Call.Phase.Waiting());
		this.draft.put(updated);
		route(updated);
	}

	/**
	 * Expires a call whose grace period ended without an outcome.
	 * @param ticket the call
	 */
	void expireCall(Ticket ticket) {
		Optional<Call> call = this.draft.call(ticket);
		if (call.isEmpty()) {
			return;
		}
		CallFailure failure = CallFailure.notRun(FailureCause.DEADLINE_PASSED, "The deadline of the request passed.");
		if (call.get().phase() instanceof Call.Phase.Sent sent) {
			this.draft
				.emit(new EntryEffect.Send(sent.sidecar(), new LinkMessage.Cancel(sent.attempt()), this.draft.now));
			refuse(call.get(), failure.combineWith(Verdict.MAY_HAVE_RUN));
			return;
		}
		refuse(call.get(), failure.combineWith(unsentVerdict(call.get())));
	}

}
