package io.lentilslip.core.sidecar;

import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.sidecar.Job.Stage;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;

/**
 * Handles the load reports and responses of the upstream. Confined to one application of
 * the reducer.
 */
final class RunRules {

	private static final int CLIENT_ERROR = 400;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private final StateBuilder builder;

	RunRules(StateBuilder builder) {
		this.builder = builder;
	}

	void progressed(RunId run, String text) {
		Optional<Job> job = this.builder.runs.get(run).toJavaOptional().flatMap(this.builder::job);
		if (job.isEmpty() || text.isEmpty()) {
			return;
		}
		Vector<Listener> listeners = job.get().listeners().map((listener) -> {
			this.builder.send(listener.entry(),
					new LinkMessage.Delta(listener.attempt(), listener.nextSequence(), text));
			return listener.afterDelta();
		});
		this.builder.put(job.get().withTranscript(job.get().transcript().with(text), listeners));
	}

	void ended(RunId run, RunResult result) {
		Optional<JobKey> key = this.builder.runs.get(run).toJavaOptional();
		this.builder.runs = this.builder.runs.remove(run);
		if (this.builder.isolatedJob.equals(key)) {
			this.builder.isolatedJob = Optional.empty();
		}
		Optional<Job> job = key.flatMap(this.builder::job)
			.filter((known) -> known.stage() instanceof Stage.Running running && running.run().equals(run));
		if (job.isPresent()) {
			handleResult(job.get(), result);
		}
		// A request of a program whose home was closed meanwhile may have made the engine
		// hold its cache again after the release.
		else if (key.isPresent() && key.get() instanceof JobKey.ForTurn turn
				&& this.builder.home(turn.program()).isEmpty()) {
			new SessionRules(this.builder).release(turn.program());
		}
		new QueueRules(this.builder).startJobs();
	}

	private void handleResult(Job job, RunResult result) {
		correctCharge(job, result);
		switch (result) {
			case RunResult.Generated generated -> {
				CallResponse.FromModel answer = new CallResponse.FromModel(generated.message(),
						generated.finishReason(), generated.usage());
				succeed(job, answer);
			}
			case RunResult.Served served -> succeed(job, served.answer());
			case RunResult.Rejected rejected -> fail(job, failureOf(rejected));
			case RunResult.Failed failed -> handleFailure(job, failed);
		}
	}

	// The estimated cost of a call is charged when it starts. Without a correction a
	// group whose calls fail would pay for work that was not done and lose its share to
	// other groups.
	private void correctCharge(Job job, RunResult result) {
		switch (result) {
			case RunResult.Generated generated ->
				this.builder.queue = this.builder.queue.settle(job.queueEntry(), costOf(job.call(), generated.usage()));
			case RunResult.Rejected rejected -> this.builder.queue = this.builder.queue.settle(job.queueEntry(), 0);
			case RunResult.Failed failed when failed.verdict() == Verdict.NOT_RUN ->
				this.builder.queue = this.builder.queue.settle(job.queueEntry(), 0);
			case RunResult.Failed failed -> {
			}
			case RunResult.Served served -> {
			}
		}
	}

	private long costOf(CallRequest call, Usage usage) {
		Optional<TokenCost> cost = Optional.of(call)
			.filter(CallRequest.ForModel.class::isInstance)
			.map(CallRequest.ForModel.class::cast)
			.flatMap((model) -> this.builder.configuration
				.flatMap((active) -> active.configuration().model(model.model())))
			.map(ModelPolicy::cost);
		return cost.map((each) -> weigh(each, usage)).orElse(usage.total());
	}

	private static long weigh(TokenCost cost, Usage usage) {
		int computed = Math.max(0, usage.promptTokens() - usage.cachedTokens());
		return cost.of(computed, usage.cachedTokens(), usage.generatedTokens());
	}

	private void succeed(Job job, CallResponse answer) {
		clearCrashes(job);
		switch (job.key()) {
			case JobKey.ForTurn key ->
				new HomeRules(this.builder).answered(job, key.program(), (CallResponse.FromModel) answer);
			case JobKey.ForClaim key -> new ClaimRules(this.builder).appendOutcome(job, key.key(),
					new CallOutcome.Completed(answer, Durability.COMMITTED, 0));
			case JobKey.ForAttempt key -> {
				this.builder.jobs = this.builder.jobs.remove(key);
				this.builder.finishAll(job, new CallOutcome.Completed(answer, Durability.NOT_KEPT, 0));
			}
		}
	}

	// The request ran in isolation without a crash, so it did not cause the earlier one.
	private void clearCrashes(Job job) {
		if (job.isolated()) {
			this.builder.append(new LedgerRecord.CrashesCleared(job.call().contentDigest(), this.builder.self));
		}
	}

	private void fail(Job job, CallFailure failure) {
		switch (job.key()) {
			case JobKey.ForTurn key -> {
				this.builder.jobs = this.builder.jobs.remove(key);
				this.builder.finishAll(job, new CallOutcome.Failed(failure));
				new HomeRules(this.builder).jobRemoved(key);
			}
			case JobKey.ForClaim key ->
				new ClaimRules(this.builder).appendOutcome(job, key.key(), new CallOutcome.Failed(failure));
			case JobKey.ForAttempt key -> {
				this.builder.jobs = this.builder.jobs.remove(key);
				this.builder.finishAll(job, new CallOutcome.Failed(failure));
			}
		}
	}

	private void handleFailure(Job job, RunResult.Failed result) {
		CallFailure failure = new CallFailure(result.verdict(), FailureCause.UPSTREAM_FAILED,
				"The upstream did not complete the answer.", Optional.empty());
		if (result.verdict() == Verdict.NOT_RUN || result.crashed()) {
			this.builder.upstream = this.builder.upstream.unreachable();
		}
		if (result.crashed() && job.call() instanceof CallRequest.ForModel) {
			recordCrash(job, failure);
			return;
		}
		fail(job, failure);
	}

	// The outcome is sent once the crash is recorded in the log, so that the next sidecar
	// runs the request in isolation instead of alongside others.
	private void recordCrash(Job job, CallFailure failure) {
		Digest content = job.call().contentDigest();
		this.builder.append(new LedgerRecord.UpstreamCrashed(content, this.builder.self, job.isolated()));
		this.builder.report(NoticeCode.ENGINE_CRASHED.with(FieldName.VM, this.builder.self.vm())
			.with(FieldName.COUNT, this.builder.runs.size() + 1));
		if (job.key() instanceof JobKey.ForClaim key) {
			new ClaimRules(this.builder).appendOutcome(job, key.key(), new CallOutcome.Failed(failure));
			return;
		}
		Set<JobKey> jobs = this.builder.awaitingCrashRecord.getOrElse(content, HashSet.empty());
		this.builder.awaitingCrashRecord = this.builder.awaitingCrashRecord.put(content, jobs.add(job.key()));
		new HomeRules(this.builder).awaitCommit(job, new CallOutcome.Failed(failure));
		new HomeRules(this.builder).jobRemoved(job.key());
	}

	/**
	 * Sends the outcome of the jobs whose crash record is committed now.
	 * @param content the digest of the request
	 */
	void crashRecorded(Digest content) {
		for (JobKey key : this.builder.awaitingCrashRecord.getOrElse(content, HashSet.empty())) {
			this.builder.job(key).ifPresent((job) -> {
				if (job.stage() instanceof Stage.Committing committing) {
					this.builder.jobs = this.builder.jobs.remove(key);
					this.builder.finishAll(job, committing.outcome());
				}
			});
			if (key instanceof JobKey.ForTurn turn) {
				new HomeRules(this.builder).processWaiting(turn.program());
			}
		}
		this.builder.awaitingCrashRecord = this.builder.awaitingCrashRecord.remove(content);
	}

	private static CallFailure failureOf(RunResult.Rejected result) {
		FailureCause cause = switch (result.status()) {
			case CONTENT_TOO_LARGE -> FailureCause.TOO_LARGE;
			case TOO_MANY_REQUESTS -> FailureCause.QUEUE_FULL;
			default -> (result.status() >= CLIENT_ERROR && result.status() < SERVER_ERROR) ? FailureCause.INVALID
					: FailureCause.UPSTREAM_FAILED;
		};
		return CallFailure.notRun(cause, "The upstream rejected the request: " + result.message());
	}

	void loadReceived(SidecarEvent.UpstreamLoadReceived event) {
		UpstreamView before = this.builder.upstream;
		this.builder.upstream = new UpstreamView(true, event.incarnation(), event.heldTokens());
		// A load report may arrive after the first requests to a new incarnation, so the
		// sessions are not cleared here. For a session that it does not know, the engine
		// reports the release as done when the program ends.
		if (!before.reachable()) {
			this.builder.report(NoticeCode.ENGINE_BACK.with(FieldName.VM, this.builder.self.vm()));
		}
		new QueueRules(this.builder).startJobs();
	}

	void unreachable() {
		this.builder.upstream = this.builder.upstream.unreachable();
		new QueueRules(this.builder).dropQueued();
	}

}
