package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits.DeadlineLimits;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.ProgramState;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.link.LinkMessage.ProgramView;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.Tuple2;
import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * Rules for requests of callers: authentication, validation and routing. Confined to one
 * application of the reducer.
 */
final class CallerRules {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(3);

	private static final int DEFAULT_MAXIMUM_TOKENS = 1024;

	private final Draft draft;

	CallerRules(Draft draft) {
		this.draft = draft;
	}

	void callArrived(EntryEvent.CallArrived event, long seed) {
		Either<CallFailure, Call> call = check(event);
		if (call.isLeft()) {
			this.draft.emit(new EntryEffect.Complete(event.ticket(), new CallOutcome.Failed(call.getLeft())));
			measureRefusal(call.getLeft());
			return;
		}
		this.draft.put(call.get());
		this.draft.retries = this.draft.retries.afterFirstAttempt();
		this.draft.startTimerAt(call.get().expiresAt(), new Timer.CallDeadline(event.ticket()));
		RouteRules routes = new RouteRules(this.draft, seed);
		if (this.draft.stopping) {
			routes.refuseUnsent(call.get(),
					CallFailure.notRun(FailureCause.STOPPING, "This entry is shutting down; retry at another entry.")
						.retryAfter(RETRY_AFTER));
			return;
		}
		new BudgetRules(this.draft, routes).admit(call.get());
	}

	private void measureRefusal(CallFailure failure) {
		this.draft.measure(new Measurement.CallRefused(Optional.empty(), Refusals.reasonOf(failure.cause())));
	}

	private Either<CallFailure, Call> check(EntryEvent.CallArrived event) {
		Submission submission = event.submission();
		return callerOf(submission.caller()).flatMap((caller) -> assignmentOf(caller, submission))
			.flatMap((assignment) -> assignment.group()
				.map((group) -> requestOf(group, assignment.programCall(), submission))
				.orElseGet(() -> refused(FailureCause.FORBIDDEN, "The caller's group is not configured.")))
			.flatMap((request) -> routeOf(request).map((route) -> Call.of(event.ticket(), request, route, event.now(),
					event.now().plus(timeoutOf(submission)), this.draft.log.catchUpCount())));
	}

	private static <T> Either<CallFailure, T> refused(FailureCause cause, String message) {
		CallFailure failure = CallFailure.notRun(cause, message);
		return Either.left((cause.isTransient()) ? failure.retryAfter(RETRY_AFTER) : failure);
	}

	private Either<CallFailure, CallerPolicy> callerOf(Digest key) {
		if (this.draft.activeConfiguration.isEmpty()) {
			return refused(FailureCause.NOT_READY, "This entry has no configuration yet.");
		}
		return configuration().caller(key)
			.<Either<CallFailure, CallerPolicy>>map(Either::right)
			.orElseGet(() -> refused(FailureCause.UNAUTHORIZED, "The caller's key is unknown."));
	}

	private Configuration configuration() {
		return this.draft.activeConfiguration.orElseThrow().configuration();
	}

	private Either<CallFailure, GroupAssignment> assignmentOf(CallerPolicy caller, Submission submission) {
		if (submission.program().isEmpty()) {
			if (submission.parent().isPresent() || submission.number().isPresent()) {
				return refused(FailureCause.INVALID, "A parent program or a call number requires a program.");
			}
			return Either.right(new GroupAssignment(Optional.of(caller.group()), Optional.empty()));
		}
		ProgramName name = submission.program().get();
		if (submission.parent().equals(submission.program())) {
			return refused(FailureCause.INVALID, "A program cannot be its own parent.");
		}
		GroupName group = configuration().groupFor(caller, name);
		Optional<ProgramId> parent = submission.parent()
			.map((each) -> new ProgramId(configuration().groupFor(caller, each), each));
		ProgramCall programCall = new ProgramCall(new ProgramId(group, name), parent, submission.number());
		return Either.right(new GroupAssignment(Optional.of(group), Optional.of(programCall)));
	}

	private Either<CallFailure, CallRequest> requestOf(GroupName group, Optional<ProgramCall> programCall,
			Submission submission) {
		if (configuration().group(group).isEmpty()) {
			return refused(FailureCause.FORBIDDEN, "The caller's group is not configured.");
		}
		return switch (submission.payload()) {
			case Payload.ForModel payload -> modelRequest(group, programCall, submission, payload);
			case Payload.ForService payload -> serviceRequest(group, programCall, submission, payload);
		};
	}

	private Either<CallFailure, CallRequest> modelRequest(GroupName group, Optional<ProgramCall> programCall,
			Submission submission, Payload.ForModel payload) {
		Optional<ModelPolicy> model = configuration().model(payload.model());
		if (model.isEmpty()) {
			return refused(FailureCause.NOT_FOUND, "The model is not configured.");
		}
		if (payload.messages().isEmpty()) {
			return refused(FailureCause.INVALID, "The request contains no messages.");
		}
		if (payload.mode() == HistoryMode.NEW && submission.number().isEmpty()) {
			return refused(FailureCause.INVALID,
					"A call that relies on the stored history requires a program and a call number.");
		}
		if (payload.messages().size() > configuration().limits().programs().messages()) {
			return refused(FailureCause.TOO_LARGE, "The request contains too many messages.");
		}
		long limit = model.get().maximumOutputTokens();
		int tokens = (int) Math.min(payload.maximumTokens().orElse(DEFAULT_MAXIMUM_TOKENS), limit);
		if (tokens < 1) {
			return refused(FailureCause.INVALID, "The maximum number of tokens to generate must be positive.");
		}
		return Either.right(new CallRequest.ForModel(group, programCall, submission.key(), contentOf(payload, tokens),
				payload.model(), payload.mode(), payload.messages(), tokens, payload.parameters(), payload.streamed()));
	}

	// Streaming is not part of the content digest: a retry may request the other form.
	private static Digest contentOf(Payload.ForModel payload, int tokens) {
		Digest digest = Digest.of(payload.model().value())
			.then(Digest.of(payload.mode().name()))
			.then(Digest.of(Integer.toString(tokens)))
			.then(Digest.of(payload.parameters()));
		for (String message : payload.messages()) {
			digest = digest.then(Digest.of(message));
		}
		return digest;
	}

	private Either<CallFailure, CallRequest> serviceRequest(GroupName group, Optional<ProgramCall> programCall,
			Submission submission, Payload.ForService payload) {
		Optional<ServicePolicy> service = configuration().service(payload.service());
		if (service.isEmpty()) {
			return refused(FailureCause.NOT_FOUND, "The service is not configured.");
		}
		ServiceRequest message = payload.message();
		Digest content = Digest.of(payload.service().value())
			.then(Digest.of(message.method()))
			.then(Digest.of(message.path()))
			.then(message.body().digest());
		return Either.right(new CallRequest.ForService(group, programCall, submission.key(), content, payload.service(),
				message, service.get().isRepeatable(message.method(), message.path())));
	}

	private Either<CallFailure, Route> routeOf(CallRequest request) {
		if (this.draft.log.ledger()
			.crashCount(request.contentDigest()) >= configuration().limits().faults().crashesBeforeStop()) {
			return Either.left(CallFailure.mayHaveRun(FailureCause.CRASHES_UPSTREAMS,
					"The request crashed upstreams before and is not retried."));
		}
		Optional<ProgramId> program = request.programCall().map(ProgramCall::program);
		Optional<ProgramState> ended = program.flatMap(this.draft.log.ledger()::program)
			.filter((state) -> state.endReason().isPresent());
		if (ended.isPresent()) {
			return Either.left(CallFailure.ofEndedProgram(request, ended.get().lastCall()));
		}
		return Either.right(switch (request) {
			case CallRequest.ForModel call when program.isPresent() -> new Route.ForHome(program.get());
			case CallRequest.ForModel call -> routeByKey(call);
			case CallRequest.ForService call -> serviceRoute(call);
		});
	}

	private static Route routeByKey(CallRequest call) {
		return call.idempotencyKey()
			.<Route>map((key) -> new Route.ForClaim(new CallKey.ForIdempotencyKey(call.group(), key)))
			.orElseGet(Route.ForAny::new);
	}

	private static Route serviceRoute(CallRequest.ForService call) {
		Optional<ProgramCall> programCall = call.programCall().filter((each) -> each.number().isPresent());
		if (call.idempotencyKey().isEmpty() && programCall.isPresent() && !call.repeatable()) {
			return new Route.ForClaim(new CallKey.ForProgramCall(programCall.get().program(), call.service(),
					programCall.get().number().orElseThrow()));
		}
		return routeByKey(call);
	}

	private Duration timeoutOf(Submission submission) {
		DeadlineLimits limits = configuration().limits().deadlines();
		Duration wanted = submission.timeLeft().orElse(limits.standard());
		return (wanted.compareTo(limits.maximum()) > 0) ? limits.maximum() : wanted;
	}

	/**
	 * Ends a request after its caller disconnected.
	 * @param ticket the request
	 */
	void callerDisconnected(Ticket ticket) {
		this.draft.programRequests = this.draft.programRequests.remove(ticket);
		Optional<Call> call = this.draft.call(ticket);
		if (call.isEmpty()) {
			return;
		}
		this.draft.remove(call.get());
		this.draft.removeWaiting(call.get());
		if (call.get().phase() instanceof Call.Phase.Sent sent) {
			this.draft.removeAttempt(sent);
			this.draft
				.emit(new EntryEffect.Send(sent.sidecar(), new LinkMessage.Cancel(sent.attempt()), this.draft.now));
		}
		CompletionRules completions = new CompletionRules(this.draft);
		boolean mayRun = call.get().phase() instanceof Call.Phase.Sent;
		completions.settle(call.get(), (mayRun) ? Verdict.MAY_HAVE_RUN : call.get().verdict(), Usage.NONE);
		completions.measure(call.get(), Measurement.CallEnded.Outcome.CALLER_LEFT, Usage.NONE);
	}

	void stateRequested(EntryEvent.ProgramStateRequested event) {
		Optional<ProgramState> state = knownProgram(event.ticket(), event.caller(), event.program());
		if (state.isEmpty()) {
			return;
		}
		ProgramId program = programOf(event.caller(), event.program());
		ProcessId home = state.get().home();
		if (state.get().endReason().isPresent()
				|| this.draft.peer(home.vm()).filter((peer) -> peer.isLinkedTo(home)).isEmpty()) {
			sendStateFromLog(event.ticket(), program, state.get());
			return;
		}
		AttemptId attempt = this.draft.nextAttempt();
		this.draft.programRequests = this.draft.programRequests.put(event.ticket(),
				new ProgramRequest.ForState(program, attempt));
		this.draft.emit(new EntryEffect.Send(home, new LinkMessage.ProgramRequest(attempt, program), this.draft.now));
		this.draft.startTimer(ANSWER_TIMEOUT, new Timer.ProgramRequestTimeout(event.ticket()));
	}

	private ProgramId programOf(Digest caller, ProgramName name) {
		CallerPolicy policy = configuration().caller(caller).orElseThrow();
		return new ProgramId(configuration().groupFor(policy, name), name);
	}

	private Optional<ProgramState> knownProgram(Ticket ticket, Digest caller, ProgramName name) {
		Either<CallFailure, ProgramState> state = callerOf(caller).flatMap((policy) -> this.draft.log.ledger()
			.program(new ProgramId(configuration().groupFor(policy, name), name))
			.<Either<CallFailure, ProgramState>>map(Either::right)
			.orElseGet(() -> refused(FailureCause.NOT_FOUND, "The program is unknown.")));
		if (state.isLeft()) {
			this.draft.emit(new EntryEffect.Complete(ticket, new CallOutcome.Failed(state.getLeft())));
		}
		return state.toJavaOptional();
	}

	// Sends the state recorded in the log, which has no messages, because the home cannot
	// be queried.
	private void sendStateFromLog(Ticket ticket, ProgramId program, ProgramState state) {
		this.draft.emit(new EntryEffect.SendProgramState(ticket,
				new ProgramView(program, state.epoch(), state.lastCall(), 0, state.endReason(), List.of())));
	}

	void stateReceived(LinkMessage.ProgramResponse answer) {
		Option<Tuple2<Ticket, ProgramRequest>> request = this.draft.programRequests
			.find((each) -> each._2() instanceof ProgramRequest.ForState state
					&& state.attempt().equals(answer.attempt()));
		if (request.isEmpty()) {
			return;
		}
		Ticket ticket = request.get()._1();
		ProgramId program = request.get()._2().program();
		this.draft.programRequests = this.draft.programRequests.remove(ticket);
		if (answer.view().isPresent()) {
			this.draft.emit(new EntryEffect.SendProgramState(ticket, answer.view().get()));
			return;
		}
		this.draft.log.ledger().program(program).ifPresent((state) -> sendStateFromLog(ticket, program, state));
	}

	void endRequested(EntryEvent.ProgramEndRequested event) {
		Optional<ProgramState> state = knownProgram(event.ticket(), event.caller(), event.program());
		if (state.isEmpty()) {
			return;
		}
		ProgramId program = programOf(event.caller(), event.program());
		if (state.get().endReason().isPresent()) {
			sendStateFromLog(event.ticket(), program, state.get());
			return;
		}
		this.draft.programRequests = this.draft.programRequests.put(event.ticket(), new ProgramRequest.ForEnd(program));
		this.draft.append(new LedgerRecord.ProgramEnded(program, EndReason.BY_CALLER));
		this.draft.startTimer(ANSWER_TIMEOUT, new Timer.ProgramRequestTimeout(event.ticket()));
	}

	/**
	 * Answers all pending requests about a program that ended.
	 * @param program the program
	 * @param state its state
	 */
	void programEnded(ProgramId program, ProgramState state) {
		for (Tuple2<Ticket, ProgramRequest> request : this.draft.programRequests) {
			if (request._2().program().equals(program)) {
				this.draft.programRequests = this.draft.programRequests.remove(request._1());
				sendStateFromLog(request._1(), program, state);
			}
		}
	}

	void expireProgramRequest(Ticket ticket) {
		Option<ProgramRequest> request = this.draft.programRequests.get(ticket);
		if (request.isEmpty()) {
			return;
		}
		this.draft.programRequests = this.draft.programRequests.remove(ticket);
		CallFailure failure = switch (request.get()) {
			case ProgramRequest.ForState state ->
				CallFailure.notRun(FailureCause.NO_UPSTREAM, "The home of the program did not respond.");
			case ProgramRequest.ForEnd end ->
				CallFailure.mayHaveRun(FailureCause.LOG_UNAVAILABLE, "The log did not confirm the end of the program.");
		};
		this.draft.emit(new EntryEffect.Complete(ticket, new CallOutcome.Failed(failure.retryAfter(RETRY_AFTER))));
	}

	/**
	 * Program of a call and the group that is charged.
	 *
	 * @param group the group
	 * @param programCall the program call, if the call belongs to a program
	 */
	private record GroupAssignment(Optional<GroupName> group, Optional<ProgramCall> programCall) {

	}

}
