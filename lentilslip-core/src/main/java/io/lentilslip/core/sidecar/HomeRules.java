package io.lentilslip.core.sidecar;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.Limits.ProgramLimits;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.ProgramState;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.sidecar.Job.Stage;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.collection.Vector;

/**
 * Handles the calls of programs whose home is this sidecar: in order, each at most once,
 * on the complete history. Confined to one application of the reducer.
 */
final class HomeRules {

	private static final int MAX_WAITING_CALLS = 16;

	private static final int MAX_PENDING_TURNS = 8;

	/**
	 * Maximum size of the messages that a call adds, in bytes. A turn is one log record,
	 * and the log rejects records over 1 MiB: a larger turn would be answered but could
	 * never be committed. The remainder is left for the answer and the envelope.
	 */
	private static final int MAX_ADDED_BYTES = 768 << 10;

	private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(1);

	private final StateBuilder builder;

	HomeRules(StateBuilder builder) {
		this.builder = builder;
	}

	/**
	 * Handles an attempt of a program's call once the log has been read up to the claim
	 * of the home.
	 * @param incoming the attempt
	 * @param authority the claim of the home that the attempt refers to
	 */
	void handle(IncomingAttempt incoming, ExecutionAuthority.ForHome authority) {
		ProgramId program = incoming.call().programCall().orElseThrow().program();
		Optional<ProgramState> state = this.builder.log.ledger().program(program);
		if (state.isEmpty() || !state.get().home().equals(this.builder.self)
				|| !state.get().epoch().equals(authority.epoch())) {
			this.builder.refuse(incoming,
					EntryRules.retryableRefusal(FailureCause.MOVED, "The program has moved to another home."));
			return;
		}
		if (state.get().endReason().isPresent()) {
			this.builder.refuse(incoming, CallFailure.ofEndedProgram(incoming.call(), state.get().lastCall()));
			return;
		}
		Home home = this.builder.home(program).orElseGet(() -> openHome(program, state.get()));
		if (home.waiting().size() >= MAX_WAITING_CALLS) {
			this.builder.refuse(incoming, EntryRules.retryableRefusal(FailureCause.QUEUE_FULL,
					"Too many calls of this program are waiting."));
			return;
		}
		this.builder.put(home.withWaiting(home.waiting().append(incoming)));
		this.builder.programsByWaitingAttempt = this.builder.programsByWaitingAttempt.put(incoming.attempt(), program);
		processWaiting(program);
		if (this.builder.programsByWaitingAttempt.containsKey(incoming.attempt())) {
			this.builder.schedule(ORDER_TIMEOUT, new SidecarTimer.WaitingCallCheck(program, incoming.attempt()));
			this.builder.scheduleAt(incoming.deadline(),
					new SidecarTimer.WaitingCallCheck(program, incoming.attempt()));
		}
	}

	private Home openHome(ProgramId program, ProgramState state) {
		Duration age = Duration.between(state.createdAt(), this.builder.log.lastRecordTime());
		Instant expires = this.builder.now.plus(limits().programs().lifetime().minus(age));
		Home home = Home.of(program, state.epoch(), state.lastTurnPosition().isEmpty(), this.builder.now, expires);
		this.builder.put(home);
		state.lastTurnPosition()
			.ifPresent((last) -> this.builder.emit(new SidecarEffect.ReadHistory(program, state.epoch(), last)));
		this.builder.scheduleAt(nextCheck(home), new SidecarTimer.ProgramAgeCheck(program));
		return home;
	}

	private Limits limits() {
		return this.builder.configuration.map(ActiveConfiguration::limits).orElse(Limits.DEFAULT);
	}

	void historyRead(ProgramId program, Epoch epoch, List<Turn> turns) {
		Optional<Home> home = this.builder.home(program).filter((known) -> known.epoch().equals(epoch));
		if (home.isEmpty() || home.get().ready()) {
			return;
		}
		this.builder.put(home.get().withHistory(Vector.ofAll(turns)));
		processWaiting(program);
	}

	/**
	 * Closes a home whose history could not be read and refuses its waiting calls. The
	 * next call opens the home again and retries the read.
	 * @param program the program
	 * @param epoch the epoch that the read was started in
	 * @param lost whether the log has already deleted records of the history
	 */
	void historyReadFailed(ProgramId program, Epoch epoch, boolean lost) {
		Optional<Home> home = this.builder.home(program).filter((known) -> known.epoch().equals(epoch));
		if (home.isEmpty() || home.get().ready()) {
			return;
		}
		this.builder.homes = this.builder.homes.remove(program);
		CallFailure failure = (lost)
				? CallFailure.notRun(FailureCause.LIMIT_REACHED,
						"The log no longer retains the complete history of the program.")
				: EntryRules.retryableRefusal(FailureCause.LOG_UNAVAILABLE,
						"The history could not be read from the log.");
		home.get().waiting().forEach((incoming) -> refuseWaiting(incoming, home.get(), failure));
	}

	/**
	 * Handles the waiting calls of a program in order of arrival.
	 * @param program the program
	 */
	void processWaiting(ProgramId program) {
		Optional<Home> home = this.builder.home(program).filter(Home::ready);
		if (home.isEmpty()) {
			return;
		}
		this.builder.put(home.get().withWaiting(Vector.empty()));
		Vector<IncomingAttempt> stillWaiting = Vector.empty();
		for (IncomingAttempt incoming : home.get().waiting()) {
			if (!process(incoming, this.builder.home(program).orElseThrow())) {
				stillWaiting = stillWaiting.append(incoming);
			}
			else {
				this.builder.programsByWaitingAttempt = this.builder.programsByWaitingAttempt
					.remove(incoming.attempt());
			}
		}
		Home current = this.builder.home(program).orElseThrow();
		this.builder.put(current.withWaiting(stillWaiting.appendAll(current.waiting())));
	}

	// Returns whether the attempt was handled and stops waiting.
	private boolean process(IncomingAttempt incoming, Home home) {
		Optional<Turn> turn = home.findTurn(incoming.call());
		if (turn.isPresent()) {
			answerRetry(incoming, home, turn.get());
			return true;
		}
		// A job whose crash record is not committed yet counts too. A new job would
		// replace it, run alongside others, and leave the first attempt without an
		// outcome.
		Optional<Job> current = this.builder.job(new JobKey.ForTurn(home.program(), home.nextNumber()));
		if (current.isPresent()) {
			return isSameCall(incoming, current.get()) && join(incoming, current.get());
		}
		if (incoming.callNumber().orElse(home.nextNumber()) > home.nextNumber()) {
			return false;
		}
		startTurn(incoming, home);
		return true;
	}

	private static boolean isSameCall(IncomingAttempt incoming, Job job) {
		CallRequest call = incoming.call();
		if (incoming.callNumber().isPresent()) {
			return job.key() instanceof JobKey.ForTurn turn && turn.number() == incoming.callNumber().get();
		}
		if (call.idempotencyKey().isPresent()) {
			return call.idempotencyKey().equals(job.call().idempotencyKey());
		}
		return call.contentDigest().equals(job.call().contentDigest());
	}

	private void answerRetry(IncomingAttempt incoming, Home home, Turn turn) {
		if (!turn.content().equals(incoming.call().contentDigest())) {
			this.builder.refuse(incoming, keyReused());
			return;
		}
		Optional<Job> uncommitted = this.builder.job(new JobKey.ForTurn(home.program(), turn.number()));
		if (uncommitted.isPresent()) {
			join(incoming, uncommitted.get());
			return;
		}
		Durability durability = (turn.number() <= home.committed()) ? Durability.COMMITTED : Durability.PENDING;
		this.builder.finish(incoming.entry(), incoming.attempt(),
				new CallOutcome.Completed(turn.answer(), durability, turn.number()));
		this.builder.report(NoticeCode.DUPLICATE_ANSWERED.with(FieldName.PROGRAM, home.program())
			.with(FieldName.CALL, turn.number()));
	}

	private static CallFailure keyReused() {
		return CallFailure.notRun(FailureCause.KEY_REUSED,
				"The call number or idempotency key was already used for a call with different content.");
	}

	/**
	 * Adds an attempt to the listeners of an existing job.
	 * @param incoming the attempt
	 * @param job the job
	 * @return always {@code true}: the attempt was added or refused
	 */
	boolean join(IncomingAttempt incoming, Job job) {
		if (!job.call().contentDigest().equals(incoming.call().contentDigest())) {
			this.builder.refuse(incoming, keyReused());
			return true;
		}
		Optional<String> remainder = job.transcript().suffixAfter(incoming.delivered());
		if (remainder.isEmpty()) {
			this.builder.refuse(incoming, CallFailure.mayHaveRun(FailureCause.UPSTREAM_FAILED,
					"The part of the answer that was already delivered does not match the running request."));
			return true;
		}
		Listener listener = new Listener(incoming.attempt(), incoming.entry(), 0);
		this.builder.jobsByAttempt = this.builder.jobsByAttempt.put(incoming.attempt(), job.key());
		this.builder.send(incoming.entry(), new LinkMessage.Accepted(incoming.attempt()));
		if (!remainder.get().isEmpty()) {
			this.builder.send(incoming.entry(), new LinkMessage.Delta(incoming.attempt(), 0, remainder.get()));
			listener = listener.afterDelta();
		}
		this.builder.put(job.withListener(listener));
		return true;
	}

	private void startTurn(IncomingAttempt incoming, Home home) {
		if (new EntryRules(this.builder).refuseIfUnavailable(incoming)) {
			return;
		}
		CallRequest.ForModel call = incoming.modelCall().orElseThrow();
		Optional<CallFailure> limit = limitReached(home, call);
		if (limit.isPresent()) {
			this.builder.refuse(incoming, limit.get());
			return;
		}
		Optional<List<String>> added = addedMessages(call, home);
		if (added.isEmpty()) {
			this.builder.refuse(incoming, CallFailure.notRun(FailureCause.HISTORY_MISMATCH,
					"The messages do not start with the history of the program."));
			this.builder.report(NoticeCode.HISTORY_MISMATCH.with(FieldName.PROGRAM, home.program())
				.with(FieldName.CALL, home.nextNumber()));
			return;
		}
		if (added.get().isEmpty()) {
			this.builder.refuse(incoming,
					CallFailure.notRun(FailureCause.INVALID, "The call adds no message to the history."));
			return;
		}
		if (bytesOf(added.get()) > MAX_ADDED_BYTES) {
			this.builder.refuse(incoming, CallFailure.notRun(FailureCause.TOO_LARGE,
					"A call may add at most " + MAX_ADDED_BYTES + " bytes to the history."));
			return;
		}
		JobKey key = new JobKey.ForTurn(home.program(), home.nextNumber());
		if (new QueueRules(this.builder).enqueue(key, incoming, added.get())) {
			this.builder
				.put(this.builder.home(home.program()).orElseThrow().withActive(Optional.of(key), this.builder.now));
		}
	}

	private static long bytesOf(List<String> messages) {
		return messages.stream().mapToLong((message) -> message.getBytes(StandardCharsets.UTF_8).length).sum();
	}

	private Optional<CallFailure> limitReached(Home home, CallRequest.ForModel call) {
		ProgramLimits limits = limits().programs();
		if (home.pendingCount() >= MAX_PENDING_TURNS) {
			return Optional.of(EntryRules.retryableRefusal(FailureCause.LOG_UNAVAILABLE,
					"Too many turns of the program are not yet committed to the log."));
		}
		if (home.turns().size() >= limits.turns()) {
			return Optional.of(CallFailure.notRun(FailureCause.LIMIT_REACHED,
					"The program has reached its maximum number of turns."));
		}
		long tokens = home.turns().lastOption().map((turn) -> turn.answer().usage().total()).getOrElse(0L);
		if (tokens >= limits.historyTokens()) {
			return Optional.of(CallFailure.notRun(FailureCause.LIMIT_REACHED,
					"The history has reached its maximum number of tokens."));
		}
		return Optional.empty();
	}

	private static Optional<List<String>> addedMessages(CallRequest.ForModel call, Home home) {
		if (call.mode() == HistoryMode.NEW) {
			return Optional.of(call.messages());
		}
		List<String> history = home.messages().asJava();
		List<String> messages = call.messages();
		if (messages.size() < history.size() || !messages.subList(0, history.size()).equals(history)) {
			return Optional.empty();
		}
		return Optional.of(messages.subList(history.size(), messages.size()));
	}

	/**
	 * Adds an answered turn to the history and starts committing it.
	 * @param job the job
	 * @param program the program
	 * @param answer the answer
	 */
	void answered(Job job, ProgramId program, CallResponse.FromModel answer) {
		Optional<Home> home = this.builder.home(program)
			.filter((known) -> known.activeJob().equals(Optional.of(job.key())));
		if (home.isEmpty()) {
			return;
		}
		int number = home.get().nextNumber();
		Turn turn = new Turn(number, job.call().contentDigest(), job.call().idempotencyKey(), job.added(), answer);
		this.builder.put(home.get().withTurn(turn, this.builder.now));
		awaitCommit(job, new CallOutcome.Completed(answer, Durability.COMMITTED, number));
		appendNextTurn(program);
		processWaiting(program);
	}

	/**
	 * Holds the outcome of a job until it is committed, for a limited time.
	 * @param job the job
	 * @param outcome the outcome
	 */
	void awaitCommit(Job job, CallOutcome outcome) {
		this.builder.put(job.withStage(new Stage.Committing(outcome, false)));
		this.builder.schedule(COMMIT_TIMEOUT, new SidecarTimer.CommitTimeout(job.key()));
	}

	/**
	 * Appends the first uncommitted turn. Only one append is in flight at a time, since
	 * the record of a turn contains the position of the previous one.
	 * @param program the program
	 */
	void appendNextTurn(ProgramId program) {
		Optional<Home> home = this.builder.home(program).filter((known) -> !known.appending());
		Optional<Turn> turn = home.flatMap(Home::firstPending);
		Optional<ProgramState> state = this.builder.log.ledger().program(program);
		if (turn.isEmpty() || state.isEmpty()) {
			return;
		}
		this.builder.put(home.get().withAppending(true));
		this.builder.append(new LedgerRecord.TurnCommitted(program, home.get().epoch(), turn.get(),
				state.get().lastTurnPosition()));
	}

	/**
	 * Marks a turn as committed.
	 * @param program the program
	 * @param state the program's state with the turn
	 * @param position the position of the turn in the log
	 */
	void turnCommitted(ProgramId program, ProgramState state, Position position) {
		Optional<Home> home = this.builder.home(program).filter((known) -> known.epoch().equals(state.epoch()));
		if (home.isEmpty() || state.lastCall() <= home.get().committed()) {
			return;
		}
		this.builder.put(home.get().withCommitted(state.lastCall()));
		this.builder.report(NoticeCode.TURN_COMMITTED.with(FieldName.PROGRAM, program)
			.with(FieldName.CALL, state.lastCall())
			.with(FieldName.EPOCH, state.epoch())
			.with(FieldName.OFFSET, position));
		finishCommitted(new JobKey.ForTurn(program, state.lastCall()));
		appendNextTurn(program);
		processWaiting(program);
	}

	// Sends the outcome of a job that is committed now.
	private void finishCommitted(JobKey key) {
		Optional<Job> job = this.builder.job(key);
		if (job.isPresent() && job.get().stage() instanceof Stage.Committing committing) {
			this.builder.jobs = this.builder.jobs.remove(key);
			this.builder.finishAll(job.get(), committing.outcome());
		}
	}

	/**
	 * Handles the removal of a job that added no turn.
	 * @param key the job
	 */
	void jobRemoved(JobKey key) {
		if (!(key instanceof JobKey.ForTurn turn)) {
			return;
		}
		Optional<Home> home = this.builder.home(turn.program())
			.filter((known) -> known.activeJob().equals(Optional.of(key)));
		if (home.isPresent()) {
			this.builder.put(home.get().withActive(Optional.empty(), this.builder.now));
			processWaiting(turn.program());
		}
	}

	void removeWaiting(ProgramId program, AttemptId attempt) {
		this.builder.home(program)
			.ifPresent((home) -> this.builder
				.put(home.withWaiting(home.waiting().filter((incoming) -> !incoming.attempt().equals(attempt)))));
	}

	/**
	 * Refuses a waiting call whose preceding calls have not arrived in time, or whose
	 * deadline has passed.
	 * @param program the program
	 * @param attempt the attempt
	 */
	void checkWaiting(ProgramId program, AttemptId attempt) {
		Optional<Home> home = this.builder.home(program);
		Optional<IncomingAttempt> incoming = home
			.flatMap((known) -> known.waiting().find((each) -> each.attempt().equals(attempt)).toJavaOptional());
		if (incoming.isEmpty()) {
			return;
		}
		int reachable = home.get().nextNumber() + ((home.get().activeJob().isPresent()) ? 1 : 0);
		boolean outOfOrder = home.get().ready() && incoming.get().callNumber().orElse(0) > reachable;
		boolean deadlinePassed = !incoming.get().deadline().isAfter(this.builder.now);
		if (!outOfOrder && !deadlinePassed) {
			return;
		}
		removeWaiting(program, attempt);
		FailureCause cause = (outOfOrder) ? FailureCause.OUT_OF_ORDER : FailureCause.DEADLINE_PASSED;
		String message = (outOfOrder) ? "The call numbered " + home.get().nextNumber() + " has not been received."
				: "The deadline passed while the call waited for the preceding call.";
		refuseWaiting(incoming.get(), home.get(), EntryRules.retryableRefusal(cause, message));
		this.builder.report(NoticeCode.CALL_OUT_OF_ORDER.with(FieldName.PROGRAM, program)
			.with(FieldName.CALL, incoming.get().callNumber().orElse(0))
			.with(FieldName.REASON, cause));
	}

	/**
	 * Ends a program that has reached its lifetime or idle time, or schedules the next
	 * check. Both share one timer: a separate timer for the lifetime would stay in memory
	 * long after the end of a short program.
	 * @param program the program
	 */
	void checkAge(ProgramId program) {
		Optional<Home> home = this.builder.home(program);
		if (home.isEmpty()) {
			return;
		}
		ProgramLimits limits = limits().programs();
		if (!home.get().expiresAt().isAfter(this.builder.now)) {
			endProgram(program, EndReason.LIFETIME);
			return;
		}
		Instant idle = home.get().lastUsedAt().plus(limits.idleTime());
		if (home.get().activeJob().isEmpty() && !idle.isAfter(this.builder.now)) {
			this.builder.report(NoticeCode.PROGRAM_IDLE_LIMIT.with(FieldName.PROGRAM, program)
				.with(FieldName.LIMIT, limits.idleTime()));
			endProgram(program, EndReason.IDLE);
			return;
		}
		this.builder.scheduleAt(nextCheck(home.get()), new SidecarTimer.ProgramAgeCheck(program));
	}

	private Instant nextCheck(Home home) {
		Duration limit = limits().programs().idleTime();
		Instant idle = home.lastUsedAt().plus(limit);
		Instant nextIdleCheck = (idle.isAfter(this.builder.now)) ? idle : this.builder.now.plus(limit);
		return (home.expiresAt().isBefore(nextIdleCheck)) ? home.expiresAt() : nextIdleCheck;
	}

	/**
	 * Ends the programs whose groups are no longer configured. They can no longer be
	 * called, and their cache would be held until the idle time has passed.
	 * @param configuration the active configuration
	 */
	void endProgramsWithoutGroup(Configuration configuration) {
		for (ProgramId program : this.builder.homes.keySet()) {
			if (configuration.group(program.group()).isEmpty()) {
				endProgram(program, EndReason.GROUP_REMOVED);
			}
		}
	}

	private void endProgram(ProgramId program, EndReason reason) {
		this.builder.append(new LedgerRecord.ProgramEnded(program, reason));
	}

	/**
	 * Handles a new claim of a program's home. The new home may be this sidecar again,
	 * claimed by an entry that had lost its connection; its state then stays valid.
	 * @param program the program
	 * @param state the program's state with the new home
	 */
	void homeChanged(ProgramId program, ProgramState state) {
		Optional<Home> home = this.builder.home(program);
		if (home.isEmpty()) {
			return;
		}
		if (!home.get().ready() || !state.home().equals(this.builder.self)) {
			close(program, FailureCause.MOVED, "The program has moved to another home.");
			return;
		}
		this.builder.put(home.get().withEpoch(state.epoch()));
		appendNextTurn(program);
	}

	/**
	 * Closes the home of a program that ended or moved: cancels its jobs and releases its
	 * cache in the engine.
	 * @param program the program
	 * @param cause the cause reported to callers
	 * @param message the message for callers
	 */
	void close(ProgramId program, FailureCause cause, String message) {
		Optional<Home> home = this.builder.home(program);
		if (home.isEmpty()) {
			return;
		}
		this.builder.homes = this.builder.homes.remove(program);
		CallFailure notRun = EntryRules.retryableRefusal(cause, message);
		home.get().waiting().forEach((incoming) -> refuseWaiting(incoming, home.get(), notRun));
		home.get().activeJob().ifPresent((key) -> closeJob(key, cause, message));
		for (int number = home.get().committed() + 1; number < home.get().nextNumber(); number++) {
			closeJob(new JobKey.ForTurn(program, number), cause, message);
			this.builder.report(NoticeCode.TURN_SUPERSEDED.with(FieldName.PROGRAM, program)
				.with(FieldName.CALL, number)
				.with(FieldName.EPOCH, home.get().epoch())
				.with(FieldName.REASON, cause));
		}
		this.builder.queue = this.builder.queue.removeProgram(program);
		new SessionRules(this.builder).release(program);
	}

	/**
	 * Closes the home of a program that ended and records its metrics. The latency is
	 * from the first claim to the last turn, in the log's time. Only the home records it,
	 * so that each program is counted once.
	 * @param program the program
	 * @param state its state
	 * @param reason why it ended
	 */
	void programEnded(ProgramId program, ProgramState state, EndReason reason) {
		if (state.home().equals(this.builder.self)) {
			Duration latency = Duration.between(state.createdAt(), state.lastActiveAt());
			this.builder
				.measure(new Measurement.ProgramEnded(program.group(), latency, state.lastCall(), labelOf(reason)));
			this.builder.report(NoticeCode.PROGRAM_ENDED.with(FieldName.PROGRAM, program)
				.with(FieldName.REASON, reason)
				.with(FieldName.COUNT, state.lastCall())
				.with(FieldName.MILLISECONDS, latency.toMillis()));
		}
		close(program, FailureCause.PROGRAM_ENDED, "The program has ended.");
	}

	private static Measurement.ProgramEnded.Reason labelOf(EndReason reason) {
		return switch (reason) {
			case BY_CALLER -> Measurement.ProgramEnded.Reason.ENDED_BY_CALLER;
			case WITH_PARENT -> Measurement.ProgramEnded.Reason.PARENT_ENDED;
			case IDLE, LIFETIME -> Measurement.ProgramEnded.Reason.IDLE_LIMIT;
			case GROUP_REMOVED -> Measurement.ProgramEnded.Reason.GROUP_REMOVED;
		};
	}

	// Without its history a home can't distinguish a new call from a retry of a committed
	// one, so it must not report the call as not run.
	private void refuseWaiting(IncomingAttempt incoming, Home home, CallFailure failure) {
		this.builder.refuse(incoming, (home.ready()) ? failure : failure.combineWith(Verdict.MAY_HAVE_RUN));
	}

	private void closeJob(JobKey key, FailureCause cause, String message) {
		Optional<Job> job = this.builder.job(key);
		if (job.isEmpty()) {
			return;
		}
		boolean queued = job.get().stage() instanceof Stage.Queued;
		if (job.get().stage() instanceof Stage.Running running) {
			this.builder.emit(new SidecarEffect.CancelRun(running.run()));
		}
		new QueueRules(this.builder).remove(key);
		CallFailure failure = (queued) ? EntryRules.retryableRefusal(cause, message)
				: CallFailure.mayHaveRun(cause, message);
		this.builder.finishAll(job.get(), new CallOutcome.Failed(failure));
	}

	/**
	 * Sends the outcome of a job whose commit has timed out.
	 * @param key the job
	 */
	void commitTimedOut(JobKey key) {
		Optional<Job> job = this.builder.job(key);
		if (job.isEmpty() || !(job.get().stage() instanceof Stage.Committing committing) || committing.timedOut()) {
			return;
		}
		CallOutcome outcome = asPending(committing.outcome());
		this.builder.finishAll(job.get(), outcome);
		switch (key) {
			case JobKey.ForTurn turn -> {
				this.builder.jobs = this.builder.jobs.remove(key);
				if (outcome instanceof CallOutcome.Completed) {
					this.builder.report(NoticeCode.TURN_PENDING.with(FieldName.PROGRAM, turn.program())
						.with(FieldName.CALL, turn.number()));
				}
				processWaiting(turn.program());
			}
			// Kept until its outcome is committed, so that no retry runs it again.
			case JobKey.ForClaim claim -> this.builder
				.put(job.get().withListeners(Vector.empty()).withStage(new Stage.Committing(outcome, true)));
			case JobKey.ForAttempt attempt -> this.builder.jobs = this.builder.jobs.remove(key);
		}
	}

	private static CallOutcome asPending(CallOutcome outcome) {
		return switch (outcome) {
			case CallOutcome.Completed answered ->
				new CallOutcome.Completed(answered.response(), Durability.PENDING, answered.number());
			case CallOutcome.Failed failed -> failed;
		};
	}

}
