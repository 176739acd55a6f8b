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
 * The rules for what the upstream sends. Confined to one application of the reducer.
 */
final class RunRules {

	private static final int CLIENT_ERROR = 400;

	private static final int TOO_LARGE = 413;

	private static final int TOO_MANY = 429;

	private static final int SERVER_ERROR = 500;

	private final Draft draft;

	RunRules(Draft draft) {
		this.draft = draft;
	}

	void progressed(RunId run, String text) {
		Optional<Job> job = this.draft.runs.get(run).toJavaOptional().flatMap(this.draft::job);
		if (job.isEmpty() || text.isEmpty()) {
			return;
		}
		Vector<Listener> served = job.get().listeners().map((listener) -> {
			this.draft.send(listener.entry(), new LinkMessage.Delta(listener.attempt(), listener.sequence(), text));
			return listener.afterDelta();
		});
		this.draft.put(job.get().withText(job.get().transcript().with(text), served));
	}

	void ended(RunId run, RunResult result) {
		Optional<JobKey> key = this.draft.runs.get(run).toJavaOptional();
		this.draft.runs = this.draft.runs.remove(run);
		if (this.draft.alone.equals(key)) {
			this.draft.alone = Optional.empty();
		}
		Optional<Job> job = key.flatMap(this.draft::job)
			.filter((known) -> known.stage() instanceof Stage.Running running && running.run().equals(run));
		if (job.isPresent()) {
			conclude(job.get(), result);
		}
		// A run of a program that closed meanwhile may have had the engine hold its cache
		// again after the release.
		else if (key.isPresent() && key.get() instanceof JobKey.ForTurn turn
				&& this.draft.home(turn.program()).isEmpty()) {
			new SessionRules(this.draft).release(turn.program());
		}
		new QueueRules(this.draft).pump();
	}

	private void conclude(Job job, RunResult result) {
		settleCost(job, result);
		switch (result) {
			case RunResult.Generated generated -> {
				CallResponse.FromModel answer = new CallResponse.FromModel(generated.message(),
						generated.finishReason(), generated.usage());
				answered(job, answer);
			}
			case RunResult.Served served -> answered(job, served.answer());
			case RunResult.Rejected rejected -> failed(job, failureOf(rejected));
			case RunResult.Failed failed -> broken(job, failed);
		}
	}

	// What a call was expected to cost was charged when it started. A group whose calls
	// fail
	// would go on paying for what it never got, and lose its share to the others.
	private void settleCost(Job job, RunResult result) {
		switch (result) {
			case RunResult.Generated generated ->
				this.draft.queue = this.draft.queue.settle(job.entry(), costOf(job.call(), generated.usage()));
			case RunResult.Rejected rejected -> this.draft.queue = this.draft.queue.settle(job.entry(), 0);
			case RunResult.Failed failed when failed.verdict() == Verdict.NOT_RUN ->
				this.draft.queue = this.draft.queue.settle(job.entry(), 0);
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
			.flatMap((model) -> this.draft.setup.flatMap((setup) -> setup.configuration().model(model.model())))
			.map(ModelPolicy::cost);
		return cost.map((each) -> weigh(each, usage)).orElse(usage.total());
	}

	private static long weigh(TokenCost cost, Usage usage) {
		int computed = Math.max(0, usage.promptTokens() - usage.cachedTokens());
		return cost.of(computed, usage.cachedTokens(), usage.generatedTokens());
	}

	private void answered(Job job, CallResponse answer) {
		clear(job);
		switch (job.key()) {
			case JobKey.ForTurn key ->
				new HomeRules(this.draft).answered(job, key.program(), (CallResponse.FromModel) answer);
			case JobKey.ForClaim key -> new ClaimRules(this.draft).ended(job, key.key(),
					new CallOutcome.Completed(answer, Durability.COMMITTED, 0));
			case JobKey.ForAttempt key -> {
				this.draft.jobs = this.draft.jobs.remove(key);
				this.draft.finishAll(job, new CallOutcome.Completed(answer, Durability.NOT_KEPT, 0));
			}
		}
	}

	// The request ran alone and nothing crashed, so the earlier crash was not its fault.
	private void clear(Job job) {
		if (job.alone()) {
			this.draft.append(new LedgerRecord.CrashesCleared(job.call().contentDigest(), this.draft.self));
		}
	}

	private void failed(Job job, CallFailure failure) {
		switch (job.key()) {
			case JobKey.ForTurn key -> {
				this.draft.jobs = this.draft.jobs.remove(key);
				this.draft.finishAll(job, new CallOutcome.Failed(failure));
				new HomeRules(this.draft).afterJob(key);
			}
			case JobKey.ForClaim key ->
				new ClaimRules(this.draft).ended(job, key.key(), new CallOutcome.Failed(failure));
			case JobKey.ForAttempt key -> {
				this.draft.jobs = this.draft.jobs.remove(key);
				this.draft.finishAll(job, new CallOutcome.Failed(failure));
			}
		}
	}

	private void broken(Job job, RunResult.Failed result) {
		CallFailure failure = new CallFailure(result.verdict(), FailureCause.UPSTREAM_FAILED,
				"The upstream gave no whole answer.", Optional.empty());
		if (result.verdict() == Verdict.NOT_RUN || result.crashed()) {
			this.draft.upstream = this.draft.upstream.down();
		}
		if (result.crashed() && job.call() instanceof CallRequest.ForModel) {
			blame(job, failure);
			return;
		}
		failed(job, failure);
	}

	// The listeners are told once the log holds the blame, so that whoever runs the
	// request
	// next knows of it; without that it would run in company there and crash that one
	// too.
	private void blame(Job job, CallFailure failure) {
		Digest content = job.call().contentDigest();
		this.draft.append(new LedgerRecord.UpstreamCrashed(content, this.draft.self, job.alone()));
		this.draft.report(NoticeCode.ENGINE_CRASHED.with(FieldName.VM, this.draft.self.vm())
			.with(FieldName.COUNT, this.draft.runs.size() + 1));
		if (job.key() instanceof JobKey.ForClaim key) {
			new ClaimRules(this.draft).ended(job, key.key(), new CallOutcome.Failed(failure));
			return;
		}
		Set<JobKey> jobs = this.draft.blamed.getOrElse(content, HashSet.empty());
		this.draft.blamed = this.draft.blamed.put(content, jobs.add(job.key()));
		new HomeRules(this.draft).settle(job, new CallOutcome.Failed(failure));
		new HomeRules(this.draft).afterJob(job.key());
	}

	/**
	 * Tells the end of the jobs whose blame the log holds now.
	 * @param content the digest of their request
	 */
	void blamed(Digest content) {
		for (JobKey key : this.draft.blamed.getOrElse(content, HashSet.empty())) {
			this.draft.job(key).ifPresent((job) -> {
				if (job.stage() instanceof Stage.Settling settling) {
					this.draft.jobs = this.draft.jobs.remove(key);
					this.draft.finishAll(job, settling.outcome());
				}
			});
			if (key instanceof JobKey.ForTurn turn) {
				new HomeRules(this.draft).advance(turn.program());
			}
		}
		this.draft.blamed = this.draft.blamed.remove(content);
	}

	private static CallFailure failureOf(RunResult.Rejected result) {
		FailureCause cause = switch (result.status()) {
			case TOO_LARGE -> FailureCause.TOO_LARGE;
			case TOO_MANY -> FailureCause.QUEUE_FULL;
			default -> (result.status() >= CLIENT_ERROR && result.status() < SERVER_ERROR) ? FailureCause.INVALID
					: FailureCause.UPSTREAM_FAILED;
		};
		return CallFailure.notRun(cause, "The upstream refused the request: " + result.message());
	}

	void reported(SidecarEvent.UpstreamLoadReceived event) {
		UpstreamView before = this.draft.upstream;
		this.draft.upstream = new UpstreamView(true, event.incarnation(), event.heldTokens());
		// A report of another instance lags: a request may have begun there before it. So
		// the sessions stay noted; the engine says for each that it does not know it when
		// its program ends, and no memory of the new instance is left behind.
		if (!before.up()) {
			this.draft.report(NoticeCode.ENGINE_BACK.with(FieldName.VM, this.draft.self.vm()));
		}
		new QueueRules(this.draft).pump();
	}

	void unreachable() {
		this.draft.upstream = this.draft.upstream.down();
		new QueueRules(this.draft).dropAll();
	}

}
