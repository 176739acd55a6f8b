package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.Transcript;
import io.lentilslip.core.share.FairQueue;
import io.lentilslip.core.sidecar.Job.Stage;
import io.vavr.collection.Vector;

/**
 * Queues jobs and starts them at the upstream. Confined to one application of the
 * reducer.
 */
final class QueueRules {

	private static final Duration QUEUE_FULL_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration CACHE_LEASE = Duration.ofMinutes(2);

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int EXPECTED_GENERATED_TOKENS = 512;

	private static final long SERVICE_COST = 100;

	private final StateBuilder builder;

	QueueRules(StateBuilder builder) {
		this.builder = builder;
	}

	/**
	 * Creates a job and queues it, or refuses the attempt.
	 * @param key the key of the job
	 * @param incoming the attempt of the call
	 * @param added the messages that the call adds to the history of its program
	 * @return whether the job was queued
	 */
	boolean enqueue(JobKey key, IncomingAttempt incoming, List<String> added) {
		Job job = createJob(key, incoming, added);
		if (isPoison(job.call())) {
			this.builder.refuse(incoming, poisonFailure());
			return false;
		}
		return switch (this.builder.queue.offer(job.queueEntry())) {
			case FairQueue.OfferResult.Queued<JobKey, JobKey> queued -> {
				this.builder.queue = queued.queue();
				accept(job, incoming);
				queued.evicted().ifPresent((entry) -> drop(entry.id(), queueFull()));
				yield true;
			}
			case FairQueue.OfferResult.Rejected<JobKey, JobKey> full -> {
				this.builder.refuse(incoming, queueFull());
				yield false;
			}
		};
	}

	/**
	 * Returns a new job for an attempt.
	 * @param key the key of the job
	 * @param incoming the attempt
	 * @param added the messages that the call adds to the history of its program
	 * @return the job, not yet queued
	 */
	Job createJob(JobKey key, IncomingAttempt incoming, List<String> added) {
		CallRequest call = incoming.call();
		FairQueue.Entry<JobKey, JobKey> entry = new FairQueue.Entry<>(key, call.group(),
				call.programCall().map(ProgramCall::program), classOf(call), this.builder.now, incoming.deadline(),
				estimateCost(call, added), key);
		Listener listener = new Listener(incoming.attempt(), incoming.entry(), 0);
		return new Job(key, call, added, Vector.of(listener), new Stage.Queued(), Transcript.of(incoming.delivered()),
				incoming.delivered(), false, entry);
	}

	private void accept(Job job, IncomingAttempt incoming) {
		this.builder.put(job);
		this.builder.jobsByAttempt = this.builder.jobsByAttempt.put(incoming.attempt(), job.key());
		this.builder.send(incoming.entry(), new LinkMessage.Accepted(incoming.attempt()));
	}

	private TokenCost costOf(CallRequest.ForModel call) {
		return this.builder.configuration.flatMap((active) -> active.configuration().model(call.model()))
			.map(ModelPolicy::cost)
			.orElse(TokenCost.DEFAULT);
	}

	private ServiceClass classOf(CallRequest call) {
		return this.builder.configuration
			.flatMap((setup) -> call.programCall()
				.map((place) -> setup.configuration().classOf(call.group(), place.program().name())))
			.orElse(ServiceClass.INTERACTIVE);
	}

	private long estimateCost(CallRequest call, List<String> messages) {
		return switch (call) {
			case CallRequest.ForModel model -> {
				long added = 1 + messages.stream().mapToLong(String::length).sum() / CHARACTERS_PER_TOKEN;
				int generated = Math.min(model.maxTokens(), EXPECTED_GENERATED_TOKENS);
				yield costOf(model).of(added, 0, generated);
			}
			case CallRequest.ForService service -> SERVICE_COST;
		};
	}

	/**
	 * Starts queued jobs until the upstream has reached its limit of calls.
	 */
	void startJobs() {
		dropExpired(this.builder.queue.removeExpired(this.builder.now));
		if (!this.builder.upstream.reachable()) {
			return;
		}
		while (canStart()) {
			FairQueue.PollResult<JobKey, JobKey> polled = this.builder.queue.poll(this.builder.now);
			this.builder.queue = polled.queue();
			if (polled.entry().isEmpty()) {
				return;
			}
			this.builder.job(polled.entry().get().id()).ifPresent(this::startOrIsolate);
		}
	}

	private boolean canStart() {
		if (this.builder.isolatedJob.isPresent()) {
			startIsolated();
			return false;
		}
		return this.builder.runs.size() < this.builder.configuration.map(ActiveConfiguration::maximumCalls).orElse(0);
	}

	private void startOrIsolate(Job job) {
		if (isPoison(job.call())) {
			drop(job.key(), poisonFailure());
			return;
		}
		if (crashesOf(job.call()) == 0) {
			start(job);
			return;
		}
		// A request that was running when an upstream crashed may have caused the crash
		// and may take other requests down with it. Running it in isolation protects the
		// others and shows whether it is the cause.
		this.builder.put(job.withIsolation());
		this.builder.isolatedJob = Optional.of(job.key());
		startIsolated();
	}

	private void startIsolated() {
		Optional<Job> job = this.builder.isolatedJob.flatMap(this.builder::job);
		if (job.isEmpty()) {
			this.builder.isolatedJob = Optional.empty();
			return;
		}
		if (this.builder.runs.isEmpty() && job.get().stage() instanceof Stage.Queued) {
			start(job.get());
		}
	}

	private void start(Job job) {
		RunId run = new RunId(this.builder.nextNumber());
		this.builder.runs = this.builder.runs.put(run, job.key());
		this.builder.put(job.withStage(new Stage.Running(run, this.builder.now)));
		Duration queued = Duration.between(job.queueEntry().arrived(), this.builder.now);
		job.listeners()
			.forEach((listener) -> this.builder.send(listener.entry(),
					new LinkMessage.Started(listener.attempt(), queued)));
		switch (job.call()) {
			case CallRequest.ForModel call ->
				this.builder.emit(new SidecarEffect.Generate(run, generationRequest(job, call)));
			case CallRequest.ForService call ->
				this.builder.emit(new SidecarEffect.CallService(run, call.service(), call.request(), timeoutOf(call)));
		}
	}

	private GenerationRequest generationRequest(Job job, CallRequest.ForModel call) {
		Optional<ProgramId> program = (job.key() instanceof JobKey.ForTurn turn) ? Optional.of(turn.program())
				: Optional.empty();
		program.ifPresent(new SessionRules(this.builder)::markHeld);
		Vector<String> history = program.flatMap(this.builder::home).map(Home::messages).orElse(Vector.empty());
		return new GenerationRequest(call.model(), history.appendAll(job.added()).asJava(), job.prefix(),
				call.maxTokens(), call.parameters(), program, CACHE_LEASE);
	}

	private Duration timeoutOf(CallRequest.ForService call) {
		return this.builder.configuration.flatMap((active) -> active.configuration().service(call.service()))
			.map(ServicePolicy::timeout)
			.orElse(ServicePolicy.DEFAULT_TIMEOUT);
	}

	private int crashesOf(CallRequest call) {
		return this.builder.log.ledger().crashCount(call.contentDigest());
	}

	private boolean isPoison(CallRequest call) {
		int limit = this.builder.configuration.map(ActiveConfiguration::limits)
			.orElse(Limits.DEFAULT)
			.faults()
			.crashesBeforeStop();
		return crashesOf(call) >= limit;
	}

	/**
	 * Removes a queued job and sends its outcome to the listeners.
	 * @param key the job
	 * @param failure the failure to send
	 */
	void drop(JobKey key, CallFailure failure) {
		Optional<Job> job = this.builder.job(key);
		if (job.isEmpty()) {
			return;
		}
		remove(key);
		CallOutcome outcome = new CallOutcome.Failed(failure);
		if (key instanceof JobKey.ForClaim claim) {
			// The claim is released in the log before the outcome is sent, so that
			// another sidecar may run the call.
			new ClaimRules(this.builder).appendOutcome(job.get(), claim.key(), outcome);
			return;
		}
		this.builder.finishAll(job.get(), outcome);
		new HomeRules(this.builder).jobRemoved(key);
	}

	/**
	 * Removes a job and its queue entry without sending an outcome.
	 * @param key the job
	 */
	void remove(JobKey key) {
		this.builder.queue.remove(key).ifPresent((removed) -> this.builder.queue = removed.queue());
		this.builder.jobs = this.builder.jobs.remove(key);
		if (this.builder.isolatedJob.equals(Optional.of(key))) {
			this.builder.isolatedJob = Optional.empty();
		}
	}

	private void dropExpired(FairQueue.ExpiryResult<JobKey, JobKey> expired) {
		this.builder.queue = expired.queue();
		for (FairQueue.Entry<JobKey, JobKey> entry : expired.entries()) {
			drop(entry.id(), CallFailure.notRun(FailureCause.DEADLINE_PASSED,
					"The deadline passed while the request was queued for the upstream."));
		}
	}

	/**
	 * Refuses all queued jobs because the upstream is unreachable, so that entries retry
	 * them elsewhere instead of waiting for the deadline.
	 */
	void dropQueued() {
		for (Job job : this.builder.jobs.values().filter((job) -> job.stage() instanceof Stage.Queued)) {
			drop(job.key(), CallFailure.notRun(FailureCause.UPSTREAM_FAILED, "The upstream is unreachable."));
		}
	}

	private static CallFailure queueFull() {
		return CallFailure.notRun(FailureCause.QUEUE_FULL, "The request queue of the upstream is full.")
			.retryAfter(QUEUE_FULL_RETRY_DELAY);
	}

	private static CallFailure poisonFailure() {
		return CallFailure.mayHaveRun(FailureCause.CRASHES_UPSTREAMS,
				"The request has repeatedly crashed upstreams and is not run again.");
	}

}
