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
 * The rules by which jobs wait for the upstream and start. Confined to one application of
 * the reducer.
 */
final class QueueRules {

	private static final Duration RETRY_AFTER_FULL = Duration.ofSeconds(1);

	private static final Duration CACHE_LEASE = Duration.ofMinutes(2);

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int EXPECTED_TOKENS = 512;

	private static final long SERVICE_COST = 100;

	private final Draft draft;

	QueueRules(Draft draft) {
		this.draft = draft;
	}

	/**
	 * Puts a call into the queue, or refuses it.
	 * @param key what identifies the job
	 * @param arrival the attempt that brought the call
	 * @param added the messages that the call adds to the history of its program
	 * @return whether the job waits now
	 */
	boolean enqueue(JobKey key, Arrival arrival, List<String> added) {
		Job job = jobOf(key, arrival, added);
		if (isStopped(job.call())) {
			this.draft.refuse(arrival, crashesUpstreams());
			return false;
		}
		return switch (this.draft.queue.offer(job.entry())) {
			case FairQueue.OfferResult.Queued<JobKey, JobKey> queued -> {
				this.draft.queue = queued.queue();
				accept(job, arrival);
				queued.evicted().ifPresent((entry) -> drop(entry.id(), queueFull()));
				yield true;
			}
			case FairQueue.OfferResult.Rejected<JobKey, JobKey> full -> {
				this.draft.refuse(arrival, queueFull());
				yield false;
			}
		};
	}

	/**
	 * Returns the job of a call that an attempt brought.
	 * @param key what identifies the job
	 * @param arrival the attempt
	 * @param added the messages that the call adds to the history of its program
	 * @return the job, which waits nowhere yet
	 */
	Job jobOf(JobKey key, Arrival arrival, List<String> added) {
		CallRequest call = arrival.call();
		FairQueue.Entry<JobKey, JobKey> entry = new FairQueue.Entry<>(key, call.group(),
				call.programCall().map(ProgramCall::program), classOf(call), this.draft.now, arrival.deadline(),
				estimate(call, added), key);
		Listener listener = new Listener(arrival.attempt(), arrival.entry(), 0);
		return new Job(key, call, added, Vector.of(listener), new Stage.Queued(), Transcript.of(arrival.delivered()),
				arrival.delivered(), false, entry);
	}

	private void accept(Job job, Arrival arrival) {
		this.draft.put(job);
		this.draft.attempts = this.draft.attempts.put(arrival.attempt(), job.key());
		this.draft.send(arrival.entry(), new LinkMessage.Accepted(arrival.attempt()));
	}

	private TokenCost costOf(CallRequest.ForModel call) {
		return this.draft.setup.flatMap((setup) -> setup.configuration().model(call.model()))
			.map(ModelPolicy::cost)
			.orElse(TokenCost.DEFAULT);
	}

	private ServiceClass classOf(CallRequest call) {
		return this.draft.setup
			.flatMap((setup) -> call.programCall()
				.map((place) -> setup.configuration().classOf(call.group(), place.program().name())))
			.orElse(ServiceClass.INTERACTIVE);
	}

	private long estimate(CallRequest call, List<String> messages) {
		return switch (call) {
			case CallRequest.ForModel model -> {
				long added = 1 + messages.stream().mapToLong(String::length).sum() / CHARACTERS_PER_TOKEN;
				int generated = Math.min(model.maxTokens(), EXPECTED_TOKENS);
				yield costOf(model).of(added, 0, generated);
			}
			case CallRequest.ForService service -> SERVICE_COST;
		};
	}

	/**
	 * Starts jobs as long as the upstream takes more.
	 */
	void pump() {
		dropExpired(this.draft.queue.removeExpired(this.draft.now));
		if (!this.draft.upstream.up()) {
			return;
		}
		while (mayStart()) {
			FairQueue.PollResult<JobKey, JobKey> polled = this.draft.queue.poll(this.draft.now);
			this.draft.queue = polled.queue();
			if (polled.entry().isEmpty()) {
				return;
			}
			this.draft.job(polled.entry().get().id()).ifPresent(this::begin);
		}
	}

	private boolean mayStart() {
		if (this.draft.alone.isPresent()) {
			startAlone();
			return false;
		}
		return this.draft.runs.size() < this.draft.setup.map(Setup::maximumCalls).orElse(0);
	}

	private void begin(Job job) {
		if (isStopped(job.call())) {
			drop(job.key(), crashesUpstreams());
			return;
		}
		if (crashesOf(job.call()) == 0) {
			start(job);
			return;
		}
		// A request that was running when an upstream crashed may be the one that crashes
		// them, and would take others down with it. Alone it harms nobody else, and what
		// happens then tells for sure whether it was the cause.
		this.draft.put(job.runAlone());
		this.draft.alone = Optional.of(job.key());
		startAlone();
	}

	private void startAlone() {
		Optional<Job> job = this.draft.alone.flatMap(this.draft::job);
		if (job.isEmpty()) {
			this.draft.alone = Optional.empty();
			return;
		}
		if (this.draft.runs.isEmpty() && job.get().stage() instanceof Stage.Queued) {
			start(job.get());
		}
	}

	private void start(Job job) {
		RunId run = new RunId(this.draft.nextNumber());
		this.draft.runs = this.draft.runs.put(run, job.key());
		this.draft.put(job.at(new Stage.Running(run, this.draft.now)));
		Duration queued = Duration.between(job.entry().arrived(), this.draft.now);
		job.listeners()
			.forEach((listener) -> this.draft.send(listener.entry(),
					new LinkMessage.Started(listener.attempt(), queued)));
		switch (job.call()) {
			case CallRequest.ForModel call -> this.draft.run(new SidecarEffect.Generate(run, order(job, call)));
			case CallRequest.ForService call ->
				this.draft.run(new SidecarEffect.CallService(run, call.service(), call.request(), timeoutOf(call)));
		}
	}

	private GenerationRequest order(Job job, CallRequest.ForModel call) {
		Optional<ProgramId> program = (job.key() instanceof JobKey.ForTurn turn) ? Optional.of(turn.program())
				: Optional.empty();
		program.ifPresent(new SessionRules(this.draft)::hold);
		Vector<String> history = program.flatMap(this.draft::home).map(Home::messages).orElse(Vector.empty());
		return new GenerationRequest(call.model(), history.appendAll(job.added()).asJava(), job.begun(),
				call.maxTokens(), call.parameters(), program, CACHE_LEASE);
	}

	private Duration timeoutOf(CallRequest.ForService call) {
		return this.draft.setup.flatMap((setup) -> setup.configuration().service(call.service()))
			.map(ServicePolicy::timeout)
			.orElse(ServicePolicy.DEFAULT_TIMEOUT);
	}

	private int crashesOf(CallRequest call) {
		return this.draft.log.ledger().crashCount(call.contentDigest());
	}

	private boolean isStopped(CallRequest call) {
		int limit = this.draft.setup.map(Setup::limits).orElse(Limits.DEFAULT).faults().crashesBeforeStop();
		return crashesOf(call) >= limit;
	}

	/**
	 * Takes a waiting job out and tells everyone who waits for it.
	 * @param key the job
	 * @param failure why
	 */
	void drop(JobKey key, CallFailure failure) {
		Optional<Job> job = this.draft.job(key);
		if (job.isEmpty()) {
			return;
		}
		take(key);
		CallOutcome outcome = new CallOutcome.Failed(failure);
		if (key instanceof JobKey.ForClaim claim) {
			// The claim is released in the log before anyone is told, so that another
			// sidecar may run the call.
			new ClaimRules(this.draft).ended(job.get(), claim.key(), outcome);
			return;
		}
		this.draft.finishAll(job.get(), outcome);
		new HomeRules(this.draft).afterJob(key);
	}

	/**
	 * Takes a waiting job out of the queue without telling anyone.
	 * @param key the job
	 */
	void take(JobKey key) {
		this.draft.queue.remove(key).ifPresent((removed) -> this.draft.queue = removed.queue());
		this.draft.jobs = this.draft.jobs.remove(key);
		if (this.draft.alone.equals(Optional.of(key))) {
			this.draft.alone = Optional.empty();
		}
	}

	private void dropExpired(FairQueue.ExpiryResult<JobKey, JobKey> expired) {
		this.draft.queue = expired.queue();
		for (FairQueue.Entry<JobKey, JobKey> entry : expired.entries()) {
			drop(entry.id(), CallFailure.notRun(FailureCause.DEADLINE_PASSED,
					"The deadline passed while the request waited for an upstream."));
		}
	}

	/**
	 * Refuses all jobs that wait, since the upstream does not answer. Entries run them
	 * elsewhere; kept here they would only wait for their deadlines.
	 */
	void dropAll() {
		for (Job job : this.draft.jobs.values().filter((job) -> job.stage() instanceof Stage.Queued)) {
			drop(job.key(), CallFailure.notRun(FailureCause.UPSTREAM_FAILED, "The upstream does not answer."));
		}
	}

	private static CallFailure queueFull() {
		return CallFailure.notRun(FailureCause.QUEUE_FULL, "Too many requests wait for this upstream.")
			.retryAfter(RETRY_AFTER_FULL);
	}

	private static CallFailure crashesUpstreams() {
		return CallFailure.mayHaveRun(FailureCause.CRASHES_UPSTREAMS,
				"The request crashed upstreams before and is not run again.");
	}

}
