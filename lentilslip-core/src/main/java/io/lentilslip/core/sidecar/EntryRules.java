package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.ProgramState;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.link.LinkMessage.ProgramView;
import io.lentilslip.core.link.Standing;
import io.lentilslip.core.sidecar.Job.Stage;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The rules for what entries send. Confined to one application of the reducer.
 */
final class EntryRules {

	private static final int MAX_AWAITING_LOG = 1024;

	private static final Duration LOG_WAIT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final StateBuilder builder;

	EntryRules(StateBuilder draft) {
		this.builder = draft;
	}

	void connected(ProcessId entry) {
		this.builder.openAttempts = this.builder.openAttempts.put(entry,
				this.builder.openAttempts.getOrElse(entry, HashSet.empty()));
		this.builder.lastReport = Optional.empty();
		if (this.builder.draining) {
			this.builder.send(entry, new LinkMessage.Leaving());
		}
	}

	/**
	 * Forgets an entry. What it asked for goes on for a while: the caller may have come
	 * to another entry, which joins the work under way.
	 * @param entry the entry
	 */
	void disconnected(ProcessId entry) {
		for (AttemptId attempt : this.builder.openAttempts.getOrElse(entry, HashSet.empty())) {
			cancel(entry, attempt);
		}
		this.builder.openAttempts = this.builder.openAttempts.remove(entry);
	}

	void handle(ProcessId entry, LinkMessage.ToSidecar message) {
		switch (message) {
			case LinkMessage.Dispatch dispatch -> dispatch(entry, dispatch);
			case LinkMessage.Cancel cancel -> cancel(entry, cancel.attempt());
			case LinkMessage.AskProgram question -> sendProgramView(entry, question);
			case LinkMessage.Hello hello -> {
			}
			case LinkMessage.Heartbeat heartbeat -> {
			}
			case LinkMessage.ConfigurationOffer offer -> {
			}
		}
	}

	private void dispatch(ProcessId entry, LinkMessage.Dispatch message) {
		if (this.builder.isOpen(message.attempt())) {
			return;
		}
		IncomingAttempt arrival = new IncomingAttempt(message.attempt(), entry, message.call(), message.standing(),
				this.builder.now.plus(message.timeLeft()), message.delivered());
		this.builder.addOpenAttempt(entry, arrival.attempt());
		if (this.builder.configuration.flatMap(ActiveConfiguration::upstream).isEmpty()) {
			this.builder.refuse(arrival, retryableRefusal(FailureCause.NOT_READY, "The sidecar has no configuration."));
			return;
		}
		route(arrival);
	}

	private void route(IncomingAttempt arrival) {
		switch (arrival.standing()) {
			case Standing.ForHome standing -> {
				if (!standing.home().equals(this.builder.self)) {
					this.builder.refuse(arrival, retryableRefusal(FailureCause.MOVED, "The program has another home."));
				}
				else if (this.builder.log.hasRead(standing.offset())) {
					new HomeRules(this.builder).handle(arrival, standing);
				}
				else {
					awaitLog(arrival);
				}
			}
			case Standing.ForClaimedCall standing -> {
				if (!standing.executor().equals(this.builder.self)) {
					// The life that was to run the call is over and may have run it. This
					// one knows nothing of it, and not knowing is no proof.
					this.builder.refuse(arrival, CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
							"The process that was to run the request is gone."));
				}
				else if (this.builder.log.hasRead(standing.offset())) {
					new ClaimRules(this.builder).handle(arrival, standing);
				}
				else {
					awaitLog(arrival);
				}
			}
			case Standing.ForSingleCall standing -> handleSingleCall(arrival);
		}
	}

	private void handleSingleCall(IncomingAttempt arrival) {
		if (refuseIfUnavailable(arrival)) {
			return;
		}
		List<String> added = arrival.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.builder).enqueue(new JobKey.ForAttempt(arrival.attempt()), arrival, added);
	}

	/**
	 * Refuses an attempt that asks for new work if none can be taken.
	 * @param arrival the attempt
	 * @return whether it was refused
	 */
	boolean refuseIfUnavailable(IncomingAttempt arrival) {
		Optional<CallFailure> refusal = unavailability();
		refusal.ifPresent((failure) -> this.builder.refuse(arrival, failure));
		return refusal.isPresent();
	}

	/**
	 * Returns why no new work can be taken.
	 * @return the refusal, or an empty result if new work can be taken
	 */
	Optional<CallFailure> unavailability() {
		if (this.builder.draining) {
			return Optional.of(retryableRefusal(FailureCause.STOPPING, "The upstream is leaving."));
		}
		if (!this.builder.upstream.reachable()) {
			return Optional.of(retryableRefusal(FailureCause.NO_UPSTREAM, "The upstream does not answer."));
		}
		return Optional.empty();
	}

	private void awaitLog(IncomingAttempt arrival) {
		if (this.builder.awaitingLog.size() >= MAX_AWAITING_LOG) {
			this.builder.refuse(arrival, retryableRefusal(FailureCause.NOT_READY, "The sidecar is behind the log."));
			return;
		}
		this.builder.awaitingLog = this.builder.awaitingLog.append(arrival);
		this.builder.schedule(LOG_WAIT_TIMEOUT, new SidecarTimer.LogWaitTimeout(arrival.attempt()));
	}

	/**
	 * Looks at the parked attempts again after more of the log was read.
	 */
	void retryAwaitingLog() {
		Vector<IncomingAttempt> parked = this.builder.awaitingLog;
		this.builder.awaitingLog = Vector.empty();
		parked.forEach(this::route);
	}

	void logWaitTimedOut(AttemptId attempt) {
		Option<IncomingAttempt> arrival = this.builder.awaitingLog.find((parked) -> parked.attempt().equals(attempt));
		if (arrival.isEmpty()) {
			return;
		}
		this.builder.awaitingLog = this.builder.awaitingLog.remove(arrival.get());
		this.builder.refuse(arrival.get(),
				retryableRefusal(FailureCause.LOG_UNAVAILABLE, "The sidecar cannot read the log far enough."));
	}

	/**
	 * Ends an attempt whose caller has gone.
	 * @param entry the entry that made it
	 * @param attempt the attempt
	 */
	void cancel(ProcessId entry, AttemptId attempt) {
		Option<JobKey> key = this.builder.jobsByAttempt.get(attempt);
		Option<ProgramId> program = this.builder.programsByWaitingAttempt.get(attempt);
		this.builder.removeAttempt(entry, attempt);
		this.builder.awaitingLog = this.builder.awaitingLog.filter((arrival) -> !arrival.attempt().equals(attempt));
		program.forEach((name) -> new HomeRules(this.builder).removeWaiting(name, attempt));
		key.toJavaOptional().flatMap(this.builder::job).ifPresent((job) -> listenerRemoved(job.without(attempt)));
	}

	private void listenerRemoved(Job job) {
		this.builder.put(job);
		if (job.listeners().nonEmpty()) {
			return;
		}
		switch (job.stage()) {
			case Stage.Queued queued -> {
				new QueueRules(this.builder).remove(job.key());
				new HomeRules(this.builder).jobRemoved(job.key());
			}
			case Stage.Running running -> orphaned(job, running);
			case Stage.Committing settling -> {
			}
		}
	}

	// A claimed call, and one that may not be repeated, goes on: breaking it off would
	// leave its outcome unknown, and a resend of the caller asks for it.
	private void orphaned(Job job, Stage.Running running) {
		switch (job.key()) {
			case JobKey.ForTurn key -> this.builder.schedule(ORPHAN_TIMEOUT, new SidecarTimer.OrphanTimeout(key));
			case JobKey.ForClaim key -> {
			}
			case JobKey.ForAttempt key -> {
				if (isRepeatable(job.call())) {
					this.builder.emit(new SidecarEffect.CancelRun(running.run()));
				}
			}
		}
	}

	private static boolean isRepeatable(CallRequest call) {
		return switch (call) {
			case CallRequest.ForModel model -> true;
			case CallRequest.ForService service -> service.repeatable();
		};
	}

	void orphanTimedOut(JobKey key) {
		Optional<Job> job = this.builder.job(key);
		if (job.isPresent() && job.get().listeners().isEmpty() && job.get().stage() instanceof Stage.Running running) {
			this.builder.emit(new SidecarEffect.CancelRun(running.run()));
		}
	}

	private void sendProgramView(ProcessId entry, LinkMessage.AskProgram question) {
		Optional<ProgramState> state = this.builder.log.ledger().program(question.program());
		Optional<ProgramView> view = this.builder.home(question.program())
			.filter(Home::ready)
			.map((home) -> new ProgramView(home.program(), home.epoch(), home.turns().size(), home.pendingCount(),
					state.flatMap(ProgramState::endReason), home.messages().asJava()));
		this.builder.send(entry, new LinkMessage.ProgramAnswer(question.attempt(), view));
	}

	static CallFailure retryableRefusal(FailureCause cause, String message) {
		return CallFailure.notRun(cause, message).retryAfter(RETRY_DELAY);
	}

}
