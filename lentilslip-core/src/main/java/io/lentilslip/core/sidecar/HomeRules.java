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
 * The rules for programs whose home is this sidecar: calls in their order, each once,
 * against the whole history. Confined to one application of the reducer.
 */
final class HomeRules {

	private static final int WAITING_BOUND = 16;

	private static final int PENDING_BOUND = 8;

	/**
	 * The most bytes that a call may add. A turn is one record, and the log takes no
	 * record over 1 MiB: a larger turn would be answered and then wait for ever to be
	 * kept. The rest is left for the answer and the envelope.
	 */
	private static final int TURN_BYTES = 768 << 10;

	private static final Duration ORDER_WAIT = Duration.ofSeconds(5);

	private static final Duration OUTCOME_WAIT = Duration.ofSeconds(1);

	private final Draft draft;

	HomeRules(Draft draft) {
		this.draft = draft;
	}

	/**
	 * Takes a call of a program, having read the log up to the claim it names.
	 * @param arrival the attempt
	 * @param standing the claim it names
	 */
	void arrive(Arrival arrival, ExecutionAuthority.ForHome standing) {
		ProgramId program = arrival.call().programCall().orElseThrow().program();
		Optional<ProgramState> state = this.draft.log.ledger().program(program);
		if (state.isEmpty() || !state.get().home().equals(this.draft.self)
				|| !state.get().epoch().equals(standing.epoch())) {
			this.draft.refuse(arrival, EntryRules.notRunSoon(FailureCause.MOVED, "The program has another home."));
			return;
		}
		if (state.get().endReason().isPresent()) {
			this.draft.refuse(arrival, CallFailure.ofEndedProgram(arrival.call(), state.get().lastCall()));
			return;
		}
		Home home = this.draft.home(program).orElseGet(() -> open(program, state.get()));
		if (home.waiting().size() >= WAITING_BOUND) {
			this.draft.refuse(arrival,
					EntryRules.notRunSoon(FailureCause.QUEUE_FULL, "Too many calls of this program wait."));
			return;
		}
		this.draft.put(home.withWaiting(home.waiting().append(arrival)));
		this.draft.waiting = this.draft.waiting.put(arrival.attempt(), program);
		advance(program);
		if (this.draft.waiting.containsKey(arrival.attempt())) {
			this.draft.remind(ORDER_WAIT, new Duty.CheckWaiting(program, arrival.attempt()));
			this.draft.remindAt(arrival.deadline(), new Duty.CheckWaiting(program, arrival.attempt()));
		}
	}

	private Home open(ProgramId program, ProgramState state) {
		Duration age = Duration.between(state.createdAt(), this.draft.log.lastRecordTime());
		Instant expires = this.draft.now.plus(limits().programs().lifetime().minus(age));
		Home home = Home.of(program, state.epoch(), state.lastTurnPosition().isEmpty(), this.draft.now, expires);
		this.draft.put(home);
		state.lastTurnPosition()
			.ifPresent((last) -> this.draft.run(new SidecarEffect.ReadHistory(program, state.epoch(), last)));
		this.draft.remindAt(nextCheck(home), new Duty.CheckAge(program));
		return home;
	}

	private Limits limits() {
		return this.draft.setup.map(Setup::limits).orElse(Limits.DEFAULT);
	}

	void historyRead(ProgramId program, Epoch epoch, List<Turn> turns) {
		Optional<Home> home = this.draft.home(program).filter((known) -> known.epoch().equals(epoch));
		if (home.isEmpty() || home.get().ready()) {
			return;
		}
		this.draft.put(home.get().withHistory(Vector.ofAll(turns)));
		advance(program);
	}

	/**
	 * Refuses what waits for a history that cannot be read now. The home is closed, so
	 * that the next call tries again.
	 * @param program the program
	 * @param epoch the epoch for which it was to be read
	 * @param lost whether the log no longer holds it
	 */
	void historyUnreadable(ProgramId program, Epoch epoch, boolean lost) {
		Optional<Home> home = this.draft.home(program).filter((known) -> known.epoch().equals(epoch));
		if (home.isEmpty() || home.get().ready()) {
			return;
		}
		this.draft.homes = this.draft.homes.remove(program);
		CallFailure failure = (lost)
				? CallFailure.notRun(FailureCause.LIMIT_REACHED, "The history is older than the log keeps.")
				: EntryRules.notRunSoon(FailureCause.LOG_UNAVAILABLE, "The history cannot be read now.");
		home.get().waiting().forEach((arrival) -> refuseWaiting(arrival, home.get(), failure));
	}

	/**
	 * Looks at the waiting calls of a program, in the order in which they came.
	 * @param program the program
	 */
	void advance(ProgramId program) {
		Optional<Home> home = this.draft.home(program).filter(Home::ready);
		if (home.isEmpty()) {
			return;
		}
		this.draft.put(home.get().withWaiting(Vector.empty()));
		Vector<Arrival> kept = Vector.empty();
		for (Arrival arrival : home.get().waiting()) {
			if (!decide(arrival, this.draft.home(program).orElseThrow())) {
				kept = kept.append(arrival);
			}
			else {
				this.draft.waiting = this.draft.waiting.remove(arrival.attempt());
			}
		}
		Home now = this.draft.home(program).orElseThrow();
		this.draft.put(now.withWaiting(kept.appendAll(now.waiting())));
	}

	// Returns whether the attempt need not wait any more.
	private boolean decide(Arrival arrival, Home home) {
		Optional<Turn> turn = home.turnOf(arrival.call());
		if (turn.isPresent()) {
			repeat(arrival, home, turn.get());
			return true;
		}
		// Also a job whose blame is on its way into the log: begun anew, the call would
		// take its place, run in company, and leave the first attempt without an answer.
		Optional<Job> underWay = this.draft.job(new JobKey.ForTurn(home.program(), home.next()));
		if (underWay.isPresent()) {
			return isSameCall(arrival, underWay.get()) && join(arrival, underWay.get());
		}
		if (arrival.number().orElse(home.next()) > home.next()) {
			return false;
		}
		begin(arrival, home);
		return true;
	}

	private static boolean isSameCall(Arrival arrival, Job job) {
		CallRequest call = arrival.call();
		if (arrival.number().isPresent()) {
			return job.key() instanceof JobKey.ForTurn turn && turn.number() == arrival.number().get();
		}
		if (call.idempotencyKey().isPresent()) {
			return call.idempotencyKey().equals(job.call().idempotencyKey());
		}
		return call.contentDigest().equals(job.call().contentDigest());
	}

	private void repeat(Arrival arrival, Home home, Turn turn) {
		if (!turn.content().equals(arrival.call().contentDigest())) {
			this.draft.refuse(arrival, reused());
			return;
		}
		Optional<Job> settling = this.draft.job(new JobKey.ForTurn(home.program(), turn.number()));
		if (settling.isPresent()) {
			join(arrival, settling.get());
			return;
		}
		Durability durability = (turn.number() <= home.committed()) ? Durability.COMMITTED : Durability.PENDING;
		this.draft.finish(arrival.entry(), arrival.attempt(),
				new CallOutcome.Completed(turn.answer(), durability, turn.number()));
		this.draft.report(NoticeCode.DUPLICATE_ANSWERED.with(FieldName.PROGRAM, home.program())
			.with(FieldName.CALL, turn.number()));
	}

	private static CallFailure reused() {
		return CallFailure.notRun(FailureCause.KEY_REUSED, "This number or key belongs to a call with other content.");
	}

	/**
	 * Lets an attempt wait for the end of a job under way.
	 * @param arrival the attempt
	 * @param job the job
	 * @return {@code true}, since the attempt is taken care of
	 */
	boolean join(Arrival arrival, Job job) {
		if (!job.call().contentDigest().equals(arrival.call().contentDigest())) {
			this.draft.refuse(arrival, reused());
			return true;
		}
		Optional<String> rest = job.transcript().suffixAfter(arrival.delivered());
		if (rest.isEmpty()) {
			this.draft.refuse(arrival, CallFailure.mayHaveRun(FailureCause.UPSTREAM_FAILED,
					"The answer begun before cannot be continued."));
			return true;
		}
		Listener listener = new Listener(arrival.attempt(), arrival.entry(), 0);
		this.draft.attempts = this.draft.attempts.put(arrival.attempt(), job.key());
		this.draft.send(arrival.entry(), new LinkMessage.Accepted(arrival.attempt()));
		if (!rest.get().isEmpty()) {
			this.draft.send(arrival.entry(), new LinkMessage.Delta(arrival.attempt(), 0, rest.get()));
			listener = listener.afterDelta();
		}
		this.draft.put(job.withListener(listener));
		return true;
	}

	private void begin(Arrival arrival, Home home) {
		if (new EntryRules(this.draft).refusedAsNew(arrival)) {
			return;
		}
		CallRequest.ForModel call = arrival.modelCall().orElseThrow();
		Optional<CallFailure> limit = limitReached(home, call);
		if (limit.isPresent()) {
			this.draft.refuse(arrival, limit.get());
			return;
		}
		Optional<List<String>> added = addedBy(call, home);
		if (added.isEmpty()) {
			this.draft.refuse(arrival, CallFailure.notRun(FailureCause.HISTORY_MISMATCH,
					"The messages do not begin with the history of the program."));
			this.draft.report(NoticeCode.HISTORY_MISMATCH.with(FieldName.PROGRAM, home.program())
				.with(FieldName.CALL, home.next()));
			return;
		}
		if (added.get().isEmpty()) {
			this.draft.refuse(arrival, CallFailure.notRun(FailureCause.INVALID, "The call adds no message."));
			return;
		}
		if (bytesOf(added.get()) > TURN_BYTES) {
			this.draft.refuse(arrival, CallFailure.notRun(FailureCause.TOO_LARGE,
					"A call may add at most " + TURN_BYTES + " bytes to the history."));
			return;
		}
		JobKey key = new JobKey.ForTurn(home.program(), home.next());
		if (new QueueRules(this.draft).enqueue(key, arrival, added.get())) {
			this.draft.put(this.draft.home(home.program()).orElseThrow().withActive(Optional.of(key), this.draft.now));
		}
	}

	private static long bytesOf(List<String> messages) {
		return messages.stream().mapToLong((message) -> message.getBytes(StandardCharsets.UTF_8).length).sum();
	}

	private Optional<CallFailure> limitReached(Home home, CallRequest.ForModel call) {
		ProgramLimits limits = limits().programs();
		if (home.pending() >= PENDING_BOUND) {
			return Optional.of(EntryRules.notRunSoon(FailureCause.LOG_UNAVAILABLE,
					"Too many turns of the program wait for the log."));
		}
		if (home.turns().size() >= limits.turns()) {
			return Optional.of(CallFailure.notRun(FailureCause.LIMIT_REACHED, "The program has its most turns."));
		}
		long tokens = home.turns().lastOption().map((turn) -> turn.answer().usage().total()).getOrElse(0L);
		if (tokens >= limits.historyTokens()) {
			return Optional.of(CallFailure.notRun(FailureCause.LIMIT_REACHED, "The history has its most tokens."));
		}
		return Optional.empty();
	}

	private static Optional<List<String>> addedBy(CallRequest.ForModel call, Home home) {
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
	 * Adds a turn that the engine has answered, and lets it settle in the log.
	 * @param job the job
	 * @param program the program
	 * @param answer the answer
	 */
	void answered(Job job, ProgramId program, CallResponse.FromModel answer) {
		Optional<Home> home = this.draft.home(program).filter((known) -> known.active().equals(Optional.of(job.key())));
		if (home.isEmpty()) {
			return;
		}
		int number = home.get().next();
		Turn turn = new Turn(number, job.call().contentDigest(), job.call().idempotencyKey(), job.added(), answer);
		this.draft.put(home.get().withTurn(turn, this.draft.now));
		settle(job, new CallOutcome.Completed(answer, Durability.COMMITTED, number));
		commitNext(program);
		advance(program);
	}

	/**
	 * Lets a job wait until the log holds its outcome, for a limited time.
	 * @param job the job
	 * @param outcome the outcome
	 */
	void settle(Job job, CallOutcome outcome) {
		this.draft.put(job.at(new Stage.Settling(outcome, false)));
		this.draft.remind(OUTCOME_WAIT, new Duty.TellOutcome(job.key()));
	}

	/**
	 * Appends the first turn that is not in the log. One at a time: the record of the
	 * next one names where this one stands.
	 * @param program the program
	 */
	void commitNext(ProgramId program) {
		Optional<Home> home = this.draft.home(program).filter((known) -> !known.appending());
		Optional<Turn> turn = home.flatMap(Home::firstPending);
		Optional<ProgramState> state = this.draft.log.ledger().program(program);
		if (turn.isEmpty() || state.isEmpty()) {
			return;
		}
		this.draft.put(home.get().whileAppending(true));
		this.draft.append(new LedgerRecord.TurnCommitted(program, home.get().epoch(), turn.get(),
				state.get().lastTurnPosition()));
	}

	/**
	 * Notes that the log holds a turn.
	 * @param program the program
	 * @param state the program's state with the turn
	 * @param position where the turn stands
	 */
	void committed(ProgramId program, ProgramState state, Position position) {
		Optional<Home> home = this.draft.home(program).filter((known) -> known.epoch().equals(state.epoch()));
		if (home.isEmpty() || state.lastCall() <= home.get().committed()) {
			return;
		}
		this.draft.put(home.get().withCommitted(state.lastCall()));
		this.draft.report(NoticeCode.TURN_COMMITTED.with(FieldName.PROGRAM, program)
			.with(FieldName.CALL, state.lastCall())
			.with(FieldName.EPOCH, state.epoch())
			.with(FieldName.OFFSET, position));
		conclude(new JobKey.ForTurn(program, state.lastCall()));
		commitNext(program);
		advance(program);
	}

	// Tells the outcome of a job that the log holds now.
	private void conclude(JobKey key) {
		Optional<Job> job = this.draft.job(key);
		if (job.isPresent() && job.get().stage() instanceof Stage.Settling settling) {
			this.draft.jobs = this.draft.jobs.remove(key);
			this.draft.finishAll(job.get(), settling.outcome());
		}
	}

	/**
	 * Notes that a job of a program is gone without a turn.
	 * @param key the job
	 */
	void afterJob(JobKey key) {
		if (!(key instanceof JobKey.ForTurn turn)) {
			return;
		}
		Optional<Home> home = this.draft.home(turn.program())
			.filter((known) -> known.active().equals(Optional.of(key)));
		if (home.isPresent()) {
			this.draft.put(home.get().withActive(Optional.empty(), this.draft.now));
			advance(turn.program());
		}
	}

	void forgetWaiting(ProgramId program, AttemptId attempt) {
		this.draft.home(program)
			.ifPresent((home) -> this.draft
				.put(home.withWaiting(home.waiting().filter((arrival) -> !arrival.attempt().equals(attempt)))));
	}

	/**
	 * Looks whether a waiting call has waited long enough.
	 * @param program the program
	 * @param attempt the attempt
	 */
	void checkWaiting(ProgramId program, AttemptId attempt) {
		Optional<Home> home = this.draft.home(program);
		Optional<Arrival> arrival = home
			.flatMap((known) -> known.waiting().find((each) -> each.attempt().equals(attempt)).toJavaOptional());
		if (arrival.isEmpty()) {
			return;
		}
		int reachable = home.get().next() + ((home.get().active().isPresent()) ? 1 : 0);
		boolean outOfOrder = home.get().ready() && arrival.get().number().orElse(0) > reachable;
		boolean late = !arrival.get().deadline().isAfter(this.draft.now);
		if (!outOfOrder && !late) {
			return;
		}
		forgetWaiting(program, attempt);
		FailureCause cause = (outOfOrder) ? FailureCause.OUT_OF_ORDER : FailureCause.DEADLINE_PASSED;
		String message = (outOfOrder) ? "The call numbered " + home.get().next() + " has not arrived."
				: "The deadline passed while the call waited for the one before it.";
		refuseWaiting(arrival.get(), home.get(), EntryRules.notRunSoon(cause, message));
		this.draft.report(NoticeCode.CALL_OUT_OF_ORDER.with(FieldName.PROGRAM, program)
			.with(FieldName.CALL, arrival.get().number().orElse(0))
			.with(FieldName.REASON, cause));
	}

	/**
	 * Ends a program that lived too long or was silent too long, or looks again later.
	 * There is one reminder for both: a second one, due at the end of the longest life,
	 * would stay in memory for a day after each program.
	 * @param program the program
	 */
	void checkAge(ProgramId program) {
		Optional<Home> home = this.draft.home(program);
		if (home.isEmpty()) {
			return;
		}
		ProgramLimits limits = limits().programs();
		if (!home.get().expires().isAfter(this.draft.now)) {
			end(program, EndReason.LIFETIME);
			return;
		}
		Instant idle = home.get().lastUsed().plus(limits.idleTime());
		if (home.get().active().isEmpty() && !idle.isAfter(this.draft.now)) {
			this.draft.report(NoticeCode.PROGRAM_IDLE_LIMIT.with(FieldName.PROGRAM, program)
				.with(FieldName.LIMIT, limits.idleTime()));
			end(program, EndReason.IDLE);
			return;
		}
		this.draft.remindAt(nextCheck(home.get()), new Duty.CheckAge(program));
	}

	private Instant nextCheck(Home home) {
		Duration limit = limits().programs().idleTime();
		Instant idle = home.lastUsed().plus(limit);
		Instant checked = (idle.isAfter(this.draft.now)) ? idle : this.draft.now.plus(limit);
		return (home.expires().isBefore(checked)) ? home.expires() : checked;
	}

	/**
	 * Ends the programs whose groups are no longer configured. Nobody could call them any
	 * more, and their cache would stay held until they were idle for too long.
	 * @param configuration the configuration in force
	 */
	void endWithoutGroup(Configuration configuration) {
		for (ProgramId program : this.draft.homes.keySet()) {
			if (configuration.group(program.group()).isEmpty()) {
				end(program, EndReason.GROUP_REMOVED);
			}
		}
	}

	private void end(ProgramId program, EndReason reason) {
		this.draft.append(new LedgerRecord.ProgramEnded(program, reason));
	}

	/**
	 * Notes that a program has a new home, which may be this sidecar again: an entry that
	 * lost sight of it claims it anew, and all it holds is still good.
	 * @param program the program
	 * @param state the program's state with the new home
	 */
	void moved(ProgramId program, ProgramState state) {
		Optional<Home> home = this.draft.home(program);
		if (home.isEmpty()) {
			return;
		}
		if (!home.get().ready() || !state.home().equals(this.draft.self)) {
			close(program, FailureCause.MOVED, "The program moved to another home.");
			return;
		}
		this.draft.put(home.get().inEpoch(state.epoch()));
		commitNext(program);
	}

	/**
	 * Closes the home of a program that ended or moved away: nothing of it runs on, and
	 * the engine holds nothing for it.
	 * @param program the program
	 * @param cause why, as callers are told
	 * @param message a sentence for the callers
	 */
	void close(ProgramId program, FailureCause cause, String message) {
		Optional<Home> home = this.draft.home(program);
		if (home.isEmpty()) {
			return;
		}
		this.draft.homes = this.draft.homes.remove(program);
		CallFailure notRun = EntryRules.notRunSoon(cause, message);
		home.get().waiting().forEach((arrival) -> refuseWaiting(arrival, home.get(), notRun));
		home.get().active().ifPresent((key) -> closeJob(key, cause, message));
		for (int number = home.get().committed() + 1; number < home.get().next(); number++) {
			closeJob(new JobKey.ForTurn(program, number), cause, message);
			this.draft.report(NoticeCode.TURN_SUPERSEDED.with(FieldName.PROGRAM, program)
				.with(FieldName.CALL, number)
				.with(FieldName.EPOCH, home.get().epoch())
				.with(FieldName.REASON, cause));
		}
		this.draft.queue = this.draft.queue.removeProgram(program);
		new SessionRules(this.draft).release(program);
	}

	/**
	 * Closes the home of a program that ended, and measures the program: it took from its
	 * first claim to its last turn, by the log's time. Only its home does so, or each
	 * program would be counted by every process.
	 * @param program the program
	 * @param state its state
	 * @param reason why it ended
	 */
	void ended(ProgramId program, ProgramState state, EndReason reason) {
		if (state.home().equals(this.draft.self)) {
			Duration latency = Duration.between(state.createdAt(), state.lastActiveAt());
			this.draft
				.measure(new Measurement.ProgramEnded(program.group(), latency, state.lastCall(), labelOf(reason)));
			this.draft.report(NoticeCode.PROGRAM_ENDED.with(FieldName.PROGRAM, program)
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

	// A home that has not read its history can't tell a new call from the resend of one
	// whose turn is in it, and must not say of that one that it did not run.
	private void refuseWaiting(Arrival arrival, Home home, CallFailure failure) {
		this.draft.refuse(arrival, (home.ready()) ? failure : failure.combineWith(Verdict.MAY_HAVE_RUN));
	}

	private void closeJob(JobKey key, FailureCause cause, String message) {
		Optional<Job> job = this.draft.job(key);
		if (job.isEmpty()) {
			return;
		}
		boolean queued = job.get().stage() instanceof Stage.Queued;
		if (job.get().stage() instanceof Stage.Running running) {
			this.draft.run(new SidecarEffect.CancelRun(running.run()));
		}
		new QueueRules(this.draft).take(key);
		CallFailure failure = (queued) ? EntryRules.notRunSoon(cause, message) : CallFailure.mayHaveRun(cause, message);
		this.draft.finishAll(job.get(), new CallOutcome.Failed(failure));
	}

	/**
	 * Tells the outcome of a job whose record takes too long.
	 * @param key the job
	 */
	void tellOutcome(JobKey key) {
		Optional<Job> job = this.draft.job(key);
		if (job.isEmpty() || !(job.get().stage() instanceof Stage.Settling settling) || settling.overdue()) {
			return;
		}
		CallOutcome outcome = pending(settling.outcome());
		this.draft.finishAll(job.get(), outcome);
		switch (key) {
			case JobKey.ForTurn turn -> {
				this.draft.jobs = this.draft.jobs.remove(key);
				if (outcome instanceof CallOutcome.Completed) {
					this.draft.report(NoticeCode.TURN_PENDING.with(FieldName.PROGRAM, turn.program())
						.with(FieldName.CALL, turn.number()));
				}
				advance(turn.program());
			}
			// Kept until the log holds its outcome, so that no resend runs it again.
			case JobKey.ForClaim claim ->
				this.draft.put(job.get().withListeners(Vector.empty()).at(new Stage.Settling(outcome, true)));
			case JobKey.ForAttempt attempt -> this.draft.jobs = this.draft.jobs.remove(key);
		}
	}

	private static CallOutcome pending(CallOutcome outcome) {
		return switch (outcome) {
			case CallOutcome.Completed answered ->
				new CallOutcome.Completed(answered.response(), Durability.PENDING, answered.number());
			case CallOutcome.Failed failed -> failed;
		};
	}

}
