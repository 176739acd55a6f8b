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
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.link.LinkMessage.ProgramView;
import io.lentilslip.core.sidecar.Job.Stage;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * Handles connections and messages of entries. Confined to one application of the
 * reducer.
 */
final class EntryRules {

	private static final int MAX_AWAITING_LOG = 1024;

	private static final Duration LOG_WAIT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final StateBuilder builder;

	EntryRules(StateBuilder builder) {
		this.builder = builder;
	}

	void connected(ProcessId entry) {
		this.builder.openAttempts = this.builder.openAttempts.put(entry,
				this.builder.openAttempts.getOrElse(entry, HashSet.empty()));
		this.builder.lastReport = Optional.empty();
		if (this.builder.draining) {
			this.builder.send(entry, new LinkMessage.Draining());
		}
	}

	/**
	 * Removes an entry and its attempts. Their jobs continue for a while, since the
	 * caller may retry through another entry, which joins the running job.
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
			case LinkMessage.ProgramRequest request -> sendProgramView(entry, request);
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
		IncomingAttempt incoming = new IncomingAttempt(message.attempt(), entry, message.call(), message.authority(),
				this.builder.now.plus(message.timeout()), message.deliveredText());
		this.builder.addOpenAttempt(entry, incoming.attempt());
		if (this.builder.configuration.flatMap(ActiveConfiguration::upstream).isEmpty()) {
			this.builder.refuse(incoming,
					retryableRefusal(FailureCause.NOT_READY, "The sidecar has not loaded a configuration yet."));
			return;
		}
		route(incoming);
	}

	private void route(IncomingAttempt incoming) {
		switch (incoming.authority()) {
			case ExecutionAuthority.ForHome authority -> {
				if (!authority.home().equals(this.builder.self)) {
					this.builder.refuse(incoming,
							retryableRefusal(FailureCause.MOVED, "The program has moved to another home."));
				}
				else if (this.builder.log.hasRead(authority.offset())) {
					new HomeRules(this.builder).handle(incoming, authority);
				}
				else {
					awaitLog(incoming);
				}
			}
			case ExecutionAuthority.ForClaimedCall authority -> {
				if (!authority.executor().equals(this.builder.self)) {
					// The incarnation that holds the claim has ended and may have run the
					// call.
					this.builder.refuse(incoming, CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
							"The process that held the claim on the request has ended; whether the request ran is unknown."));
				}
				else if (this.builder.log.hasRead(authority.offset())) {
					new ClaimRules(this.builder).handle(incoming, authority);
				}
				else {
					awaitLog(incoming);
				}
			}
			case ExecutionAuthority.ForSingleCall authority -> handleSingleCall(incoming);
		}
	}

	private void handleSingleCall(IncomingAttempt incoming) {
		if (refuseIfUnavailable(incoming)) {
			return;
		}
		List<String> addedMessages = incoming.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.builder).enqueue(new JobKey.ForAttempt(incoming.attempt()), incoming, addedMessages);
	}

	/**
	 * Refuses an attempt that needs a new job while none can be accepted.
	 * @param incoming the attempt
	 * @return whether it was refused
	 */
	boolean refuseIfUnavailable(IncomingAttempt incoming) {
		Optional<CallFailure> refusal = unavailability();
		refusal.ifPresent((failure) -> this.builder.refuse(incoming, failure));
		return refusal.isPresent();
	}

	/**
	 * Returns why no new job can be accepted.
	 * @return the refusal, or an empty result if new jobs are accepted
	 */
	Optional<CallFailure> unavailability() {
		if (this.builder.draining) {
			return Optional.of(retryableRefusal(FailureCause.STOPPING, "The upstream is draining."));
		}
		if (!this.builder.upstream.reachable()) {
			return Optional.of(retryableRefusal(FailureCause.NO_UPSTREAM, "The upstream is unreachable."));
		}
		return Optional.empty();
	}

	private void awaitLog(IncomingAttempt incoming) {
		if (this.builder.awaitingLog.size() >= MAX_AWAITING_LOG) {
			this.builder.refuse(incoming, retryableRefusal(FailureCause.NOT_READY,
					"The sidecar lags behind the log, and too many calls wait for it."));
			return;
		}
		this.builder.awaitingLog = this.builder.awaitingLog.append(incoming);
		this.builder.schedule(LOG_WAIT_TIMEOUT, new SidecarTimer.LogWaitTimeout(incoming.attempt()));
	}

	/**
	 * Handles the attempts that wait for the log again after a batch has been read.
	 */
	void retryAwaitingLog() {
		Vector<IncomingAttempt> attempts = this.builder.awaitingLog;
		this.builder.awaitingLog = Vector.empty();
		attempts.forEach(this::route);
	}

	void logWaitTimedOut(AttemptId attempt) {
		Option<IncomingAttempt> incoming = this.builder.awaitingLog.find((each) -> each.attempt().equals(attempt));
		if (incoming.isEmpty()) {
			return;
		}
		this.builder.awaitingLog = this.builder.awaitingLog.remove(incoming.get());
		this.builder.refuse(incoming.get(), retryableRefusal(FailureCause.LOG_UNAVAILABLE,
				"The sidecar could not read the log up to the required offset in time."));
	}

	/**
	 * Cancels an attempt whose caller has disconnected.
	 * @param entry the entry that sent it
	 * @param attempt the attempt
	 */
	void cancel(ProcessId entry, AttemptId attempt) {
		Option<JobKey> key = this.builder.jobsByAttempt.get(attempt);
		Option<ProgramId> program = this.builder.programsByWaitingAttempt.get(attempt);
		this.builder.removeAttempt(entry, attempt);
		this.builder.awaitingLog = this.builder.awaitingLog.filter((incoming) -> !incoming.attempt().equals(attempt));
		program.forEach((id) -> new HomeRules(this.builder).removeWaiting(id, attempt));
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
			case Stage.Committing committing -> {
			}
		}
	}

	// Claimed calls and calls that may not be repeated continue: cancelling them would
	// leave their outcome unknown, and a retry of the caller joins them.
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

	private void sendProgramView(ProcessId entry, LinkMessage.ProgramRequest request) {
		Optional<ProgramState> state = this.builder.log.ledger().program(request.program());
		Optional<ProgramView> view = this.builder.home(request.program())
			.filter(Home::ready)
			.map((home) -> new ProgramView(home.program(), home.epoch(), home.turns().size(), home.pendingCount(),
					state.flatMap(ProgramState::endReason), home.messages().asJava()));
		this.builder.send(entry, new LinkMessage.ProgramResponse(request.attempt(), view));
	}

	static CallFailure retryableRefusal(FailureCause cause, String message) {
		return CallFailure.notRun(cause, message).retryAfter(RETRY_DELAY);
	}

}
