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
 * The rules for what entries send. Confined to one application of the reducer.
 */
final class EntryRules {

	private static final int PARKED_BOUND = 1024;

	private static final Duration LOG_WAIT = Duration.ofSeconds(2);

	private static final Duration ORPHAN_GRACE = Duration.ofSeconds(5);

	private static final Duration RETRY_SOON = Duration.ofSeconds(1);

	private final Draft draft;

	EntryRules(Draft draft) {
		this.draft = draft;
	}

	void linked(ProcessId entry) {
		this.draft.entries = this.draft.entries.put(entry, this.draft.entries.getOrElse(entry, HashSet.empty()));
		this.draft.lastReport = Optional.empty();
		if (this.draft.stopping) {
			this.draft.send(entry, new LinkMessage.Draining());
		}
	}

	/**
	 * Forgets an entry. What it asked for goes on for a while: the caller may have come
	 * to another entry, which joins the work under way.
	 * @param entry the entry
	 */
	void unlinked(ProcessId entry) {
		for (AttemptId attempt : this.draft.entries.getOrElse(entry, HashSet.empty())) {
			cancel(entry, attempt);
		}
		this.draft.entries = this.draft.entries.remove(entry);
	}

	void spoke(ProcessId entry, LinkMessage.ToSidecar message) {
		switch (message) {
			case LinkMessage.Dispatch dispatch -> dispatch(entry, dispatch);
			case LinkMessage.Cancel cancel -> cancel(entry, cancel.attempt());
			case LinkMessage.ProgramRequest question -> answer(entry, question);
			case LinkMessage.Hello hello -> {
			}
			case LinkMessage.Heartbeat heartbeat -> {
			}
			case LinkMessage.ConfigurationOffer offer -> {
			}
		}
	}

	private void dispatch(ProcessId entry, LinkMessage.Dispatch message) {
		if (this.draft.isOpen(message.attempt())) {
			return;
		}
		Arrival arrival = new Arrival(message.attempt(), entry, message.call(), message.authority(),
				this.draft.now.plus(message.timeout()), message.deliveredText());
		this.draft.opened(entry, arrival.attempt());
		if (this.draft.setup.flatMap(Setup::upstream).isEmpty()) {
			this.draft.refuse(arrival, notRunSoon(FailureCause.NOT_READY, "The sidecar has no configuration."));
			return;
		}
		receive(arrival);
	}

	private void receive(Arrival arrival) {
		switch (arrival.standing()) {
			case ExecutionAuthority.ForHome standing -> {
				if (!standing.home().equals(this.draft.self)) {
					this.draft.refuse(arrival, notRunSoon(FailureCause.MOVED, "The program has another home."));
				}
				else if (this.draft.log.hasRead(standing.offset())) {
					new HomeRules(this.draft).arrive(arrival, standing);
				}
				else {
					park(arrival);
				}
			}
			case ExecutionAuthority.ForClaimedCall standing -> {
				if (!standing.executor().equals(this.draft.self)) {
					// The life that was to run the call is over and may have run it. This
					// one knows nothing of it, and not knowing is no proof.
					this.draft.refuse(arrival, CallFailure.mayHaveRun(FailureCause.OUTCOME_UNKNOWN,
							"The process that was to run the request is gone."));
				}
				else if (this.draft.log.hasRead(standing.offset())) {
					new ClaimRules(this.draft).arrive(arrival, standing);
				}
				else {
					park(arrival);
				}
			}
			case ExecutionAuthority.ForSingleCall standing -> single(arrival);
		}
	}

	private void single(Arrival arrival) {
		if (refusedAsNew(arrival)) {
			return;
		}
		List<String> added = arrival.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.draft).enqueue(new JobKey.ForAttempt(arrival.attempt()), arrival, added);
	}

	/**
	 * Refuses an attempt that asks for new work if none can be taken.
	 * @param arrival the attempt
	 * @return whether it was refused
	 */
	boolean refusedAsNew(Arrival arrival) {
		Optional<CallFailure> refusal = refusalOfNew();
		refusal.ifPresent((failure) -> this.draft.refuse(arrival, failure));
		return refusal.isPresent();
	}

	/**
	 * Returns why no new work can be taken.
	 * @return the refusal, or an empty result if new work can be taken
	 */
	Optional<CallFailure> refusalOfNew() {
		if (this.draft.stopping) {
			return Optional.of(notRunSoon(FailureCause.STOPPING, "The upstream is leaving."));
		}
		if (!this.draft.upstream.up()) {
			return Optional.of(notRunSoon(FailureCause.NO_UPSTREAM, "The upstream does not answer."));
		}
		return Optional.empty();
	}

	private void park(Arrival arrival) {
		if (this.draft.parked.size() >= PARKED_BOUND) {
			this.draft.refuse(arrival, notRunSoon(FailureCause.NOT_READY, "The sidecar is behind the log."));
			return;
		}
		this.draft.parked = this.draft.parked.append(arrival);
		this.draft.remind(LOG_WAIT, new Duty.GiveUpParked(arrival.attempt()));
	}

	/**
	 * Looks at the parked attempts again after more of the log was read.
	 */
	void unpark() {
		Vector<Arrival> parked = this.draft.parked;
		this.draft.parked = Vector.empty();
		parked.forEach(this::receive);
	}

	void giveUpParked(AttemptId attempt) {
		Option<Arrival> arrival = this.draft.parked.find((parked) -> parked.attempt().equals(attempt));
		if (arrival.isEmpty()) {
			return;
		}
		this.draft.parked = this.draft.parked.remove(arrival.get());
		this.draft.refuse(arrival.get(),
				notRunSoon(FailureCause.LOG_UNAVAILABLE, "The sidecar cannot read the log far enough."));
	}

	/**
	 * Ends an attempt whose caller has gone.
	 * @param entry the entry that made it
	 * @param attempt the attempt
	 */
	void cancel(ProcessId entry, AttemptId attempt) {
		Option<JobKey> key = this.draft.attempts.get(attempt);
		Option<ProgramId> program = this.draft.waiting.get(attempt);
		this.draft.closed(entry, attempt);
		this.draft.parked = this.draft.parked.filter((arrival) -> !arrival.attempt().equals(attempt));
		program.forEach((name) -> new HomeRules(this.draft).forgetWaiting(name, attempt));
		key.toJavaOptional().flatMap(this.draft::job).ifPresent((job) -> leave(job.without(attempt)));
	}

	private void leave(Job job) {
		this.draft.put(job);
		if (job.listeners().nonEmpty()) {
			return;
		}
		switch (job.stage()) {
			case Stage.Queued queued -> {
				new QueueRules(this.draft).take(job.key());
				new HomeRules(this.draft).afterJob(job.key());
			}
			case Stage.Running running -> abandon(job, running);
			case Stage.Settling settling -> {
			}
		}
	}

	// A claimed call, and one that may not be repeated, goes on: breaking it off would
	// leave its outcome unknown, and a resend of the caller asks for it.
	private void abandon(Job job, Stage.Running running) {
		switch (job.key()) {
			case JobKey.ForTurn key -> this.draft.remind(ORPHAN_GRACE, new Duty.StopOrphan(key));
			case JobKey.ForClaim key -> {
			}
			case JobKey.ForAttempt key -> {
				if (isRepeatable(job.call())) {
					this.draft.run(new SidecarEffect.CancelRun(running.run()));
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

	void stopOrphan(JobKey key) {
		Optional<Job> job = this.draft.job(key);
		if (job.isPresent() && job.get().listeners().isEmpty() && job.get().stage() instanceof Stage.Running running) {
			this.draft.run(new SidecarEffect.CancelRun(running.run()));
		}
	}

	private void answer(ProcessId entry, LinkMessage.ProgramRequest question) {
		Optional<ProgramState> state = this.draft.log.ledger().program(question.program());
		Optional<ProgramView> view = this.draft.home(question.program())
			.filter(Home::ready)
			.map((home) -> new ProgramView(home.program(), home.epoch(), home.turns().size(), home.pending(),
					state.flatMap(ProgramState::endReason), home.messages().asJava()));
		this.draft.send(entry, new LinkMessage.ProgramResponse(question.attempt(), view));
	}

	static CallFailure notRunSoon(FailureCause cause, String message) {
		return CallFailure.notRun(cause, message).retryAfter(RETRY_SOON);
	}

}
