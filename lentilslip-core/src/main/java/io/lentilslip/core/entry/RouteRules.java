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
 * The rules by which a call finds the sidecar that runs it. Confined to one application
 * of the reducer.
 */
final class RouteRules {

	/**
	 * How much longer than its deadline a call waits for the word of the sidecar, which
	 * knows whether the call ran.
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
	 * Sends a call, or lets it wait for what it needs.
	 * @param call the call, which is neither sent nor waiting
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

	// The first claim of a sub-agent whose parent has ended is void for good. Without the
	// look at the parent the call would claim again each time it reads that, and fill the
	// log until its deadline.
	private void claimFirstHome(Call call, Route.ForHome route) {
		boolean orphaned = call.request()
			.programCall()
			.flatMap(ProgramCall::parent)
			.flatMap(this.draft.log.ledger()::program)
			.flatMap(ProgramState::endReason)
			.isPresent();
		if (orphaned) {
			refuse(call, CallFailure.ofEndedProgram(call.request(), 0));
			return;
		}
		claimHome(call, route, Epoch.NONE.next(), Optional.empty());
	}

	private static boolean isOtherIncarnation(Peer peer, ProcessId known) {
		return peer.process().isPresent() && !peer.isLinkedTo(known);
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
			refuse(call, CallFailure.notRun(FailureCause.KEY_REUSED, "This key belongs to a call with other content."));
			return;
		}
		if (claim.outcome().isPresent()) {
			new CompletionRules(this.draft).complete(call, claim.outcome().get());
			return;
		}
		Optional<Peer> peer = this.draft.peer(claim.executor().vm());
		if (peer.isEmpty() || isOtherIncarnation(peer.get(), claim.executor())) {
			// The life that could tell is over. Nobody else may run the call, and nobody
			// can say that it did not run.
			refuse(call, CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
					"The process that was to run the request is gone."));
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
					.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
							"The process that was to run the request cannot be reached.")
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
		return CallFailure.notRun(FailureCause.NO_UPSTREAM, "No upstream for this request can be reached.")
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
	 * Claims the home of a program for a sidecar chosen now, unless a claim is under way.
	 * @param call the call that needs it
	 * @param route the program
	 * @param epoch the epoch to claim
	 * @param excluded a VM that must not be chosen
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
		return CallFailure.notRun(FailureCause.LOG_UNAVAILABLE, "The request needs the log, which cannot be reached.")
			.retryAfter(RETRY_AFTER);
	}

	/**
	 * Returns what may be said of a call that this entry has not sent. Another entry may
	 * have sent it before: without the log, with a claim in it, or with records in it
	 * that this entry has not read, nobody can exclude that it ran, and an entry that
	 * said so would have the caller run it twice.
	 * @param call the call
	 * @return the verdict
	 */
	Verdict unsentVerdict(Call call) {
		boolean proved = !isInLog(call) && this.draft.log.isReachable() && hasReadSinceArrival(call);
		return (proved) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
	}

	private boolean isInLog(Call call) {
		Ledger ledger = this.draft.log.ledger();
		return switch (call.route()) {
			case Route.ForHome route -> ledger.program(route.program()).isPresent();
			case Route.ForClaim route -> ledger.claim(route.key()).isPresent();
			case Route.ForAny route -> false;
		};
	}

	// The first round that ends after the call arrived may have begun before.
	private boolean hasReadSinceArrival(Call call) {
		return call.route() instanceof Route.ForAny
				|| this.draft.log.catchUpCount() >= call.arrivalRound() + ROUNDS_FOR_FULL_READ;
	}

	/**
	 * Refuses a call that is not sent, once this entry has read enough of the log to say
	 * whether another one sent it.
	 * @param call the call
	 * @param failure why it is not sent
	 */
	void refuseUnsent(Call call, CallFailure failure) {
		boolean waits = !isInLog(call) && this.draft.log.isReachable() && !hasReadSinceArrival(call)
				&& call.deadline().isAfter(this.draft.now);
		if (!waits) {
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
				(left.isNegative()) ? Duration.ZERO : left, call.delivered().text())));
	}

	/**
	 * Looks again at the calls that wait for a program or a claim.
	 * @param route what they wait for
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
	 * Notes that a claim of a program or call was decided.
	 * @param route what was claimed
	 */
	void claimDecided(Route route) {
		this.draft.pendingClaims = this.draft.pendingClaims.remove(route);
		reroute(route);
	}

	/**
	 * Appends a claim again that is not in the log, as far as is known. If it is, the
	 * second one is void.
	 * @param route what is claimed
	 * @param record the claim
	 */
	void retryClaim(Route route, LedgerRecord record) {
		if (this.draft.pendingClaims.containsKey(route)) {
			this.draft.append(record);
		}
	}

	/**
	 * Refuses the calls that wait for a claim that did not show in the log in time.
	 * @param route what was claimed
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
	 * Decides what follows from an attempt that had no answer.
	 * @param call the call, still as it was sent
	 * @param sent the attempt
	 * @param failure how it ended
	 */
	void attemptFailed(Call call, Call.Phase.Sent sent, CallFailure failure) {
		this.draft.removeAttempt(sent);
		Call known = call.withVerdict(failure.verdict()).withPhase(new Call.Phase.Waiting());
		this.draft.put(known);
		switch (call.route()) {
			case Route.ForHome route -> afterHomeFailure(known, route, sent, failure);
			case Route.ForClaim route -> afterExecutorFailure(known, failure);
			case Route.ForAny route -> afterAnyFailure(known, failure);
		}
	}

	// A turn counts once whatever happens to the attempts: so another home may run the
	// call even if this one may have begun.
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
		boolean goesOn = released && call.attempts() < MAX_ATTEMPTS && call.deadline().isAfter(this.draft.now);
		switch (failure.cause()) {
			case MOVED, STOPPING, NO_UPSTREAM, UPSTREAM_FAILED, NOT_READY -> {
				if (goesOn) {
					waitUntil(this.draft.now.plus(REROUTE_DELAY), call);
				}
				else {
					refuse(call, withUnsentVerdict(call, failure));
				}
			}
			default -> refuse(call, withUnsentVerdict(call, failure));
		}
	}

	// A sidecar that is not the home or executor, or could not read the log, knows only
	// of
	// itself that it did not run the call.
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
			// A request that was running when an engine crashed is not sent to the next
			// one by itself: whoever wants it asks again, when the log knows of the
			// crash.
			case CallRequest.ForModel model -> this.draft.log.ledger().crashCount(model.contentDigest()) == 0;
			case CallRequest.ForService service -> service.repeatable();
		};
	}

	/**
	 * Looks again at what was sent to a sidecar whose link ended. Homes and executors may
	 * come back and be asked again: they know what they ran.
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
		Call known = call.withVerdict(Verdict.MAY_HAVE_RUN).withPhase(new Call.Phase.Waiting());
		this.draft.put(known);
		route(known);
	}

	/**
	 * Ends a call whose deadline has passed without a word of the sidecar.
	 * @param ticket the call
	 */
	void expireCall(Ticket ticket) {
		Optional<Call> call = this.draft.call(ticket);
		if (call.isEmpty()) {
			return;
		}
		CallFailure failure = CallFailure.notRun(FailureCause.DEADLINE_PASSED, "The deadline passed.");
		if (call.get().phase() instanceof Call.Phase.Sent sent) {
			this.draft.emit(new EntryEffect.Send(sent.sidecar(), new LinkMessage.Cancel(sent.attempt())));
			refuse(call.get(), failure.combineWith(Verdict.MAY_HAVE_RUN));
			return;
		}
		refuse(call.get(), failure.combineWith(unsentVerdict(call.get())));
	}

}
