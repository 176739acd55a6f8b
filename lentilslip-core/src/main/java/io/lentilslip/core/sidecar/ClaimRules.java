package io.lentilslip.core.sidecar;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.ClaimState;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.sidecar.Job.Stage;

/**
 * Handles calls claimed for this incarnation of the sidecar: each runs at most once, and
 * every attempt receives the same outcome. Confined to one application of the reducer.
 */
final class ClaimRules {

	private final StateBuilder builder;

	ClaimRules(StateBuilder builder) {
		this.builder = builder;
	}

	/**
	 * Handles an attempt of a claimed call once the log has been read up to the claim.
	 * @param incoming the attempt
	 * @param authority the claim that the attempt refers to
	 */
	void handle(IncomingAttempt incoming, ExecutionAuthority.ForClaimedCall authority) {
		Optional<ClaimState> claim = this.builder.log.ledger().claim(authority.key());
		if (claim.isEmpty() || !claim.get().executor().equals(this.builder.self)) {
			this.builder.refuse(incoming,
					EntryRules.retryableRefusal(FailureCause.MOVED, "The claim on the call was released."));
			return;
		}
		if (!claim.get().content().equals(incoming.call().contentDigest())) {
			this.builder.refuse(incoming, CallFailure.notRun(FailureCause.KEY_REUSED,
					"The key or number of the call was already used for a call with different content."));
			return;
		}
		if (claim.get().outcome().isPresent()) {
			this.builder.finish(incoming.entry(), incoming.attempt(), claim.get().outcome().get());
			return;
		}
		JobKey.ForClaim key = new JobKey.ForClaim(authority.key());
		Optional<Job> job = this.builder.job(key);
		if (job.isPresent()) {
			attach(incoming, job.get());
			return;
		}
		Optional<CallFailure> refusal = refusalFor(authority.key());
		if (refusal.isPresent()) {
			release(key, incoming, refusal.get());
			return;
		}
		// This incarnation holds the claim and has neither an outcome nor a job for it,
		// so the call has never run, and no other process may run it.
		List<String> addedMessages = incoming.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.builder).enqueue(key, incoming, addedMessages);
	}

	// A release whose append result is unknown may still take effect. It would release
	// the claim while the call runs, and another process would run the call again. A call
	// that does not run may be released any number of times.
	private Optional<CallFailure> refusalFor(CallKey key) {
		if (this.builder.uncertainReleases.contains(key)) {
			return Optional.of(EntryRules.retryableRefusal(FailureCause.MOVED, "The claim on the call was released."));
		}
		return new EntryRules(this.builder).unavailability();
	}

	private void release(JobKey.ForClaim key, IncomingAttempt incoming, CallFailure refusal) {
		Job job = new QueueRules(this.builder).createJob(key, incoming, List.of());
		this.builder.jobsByAttempt = this.builder.jobsByAttempt.put(incoming.attempt(), key);
		appendOutcome(job, key.key(), new CallOutcome.Failed(refusal));
	}

	private void attach(IncomingAttempt incoming, Job job) {
		if (job.stage() instanceof Stage.Committing committing && committing.timedOut()) {
			this.builder.finish(incoming.entry(), incoming.attempt(), committing.outcome());
			return;
		}
		new HomeRules(this.builder).join(incoming, job);
	}

	/**
	 * Appends the outcome of a claimed call to the log.
	 * @param job the job
	 * @param key the key of the call
	 * @param outcome the outcome
	 */
	void appendOutcome(Job job, CallKey key, CallOutcome outcome) {
		new HomeRules(this.builder).awaitCommit(job, outcome);
		this.builder.append(new LedgerRecord.CallSettled(key, this.builder.self, outcome));
	}

	/**
	 * Sends the outcome of a claimed call to its listeners once it is committed.
	 * @param key the key of the call
	 */
	void outcomeCommitted(CallKey key) {
		JobKey jobKey = new JobKey.ForClaim(key);
		Optional<Job> job = this.builder.job(jobKey);
		if (job.isPresent() && job.get().stage() instanceof Stage.Committing committing) {
			this.builder.jobs = this.builder.jobs.remove(jobKey);
			this.builder.finishAll(job.get(), committing.outcome());
		}
	}

}
