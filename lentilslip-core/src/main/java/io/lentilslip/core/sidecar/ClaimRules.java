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
import io.lentilslip.core.link.Standing;
import io.lentilslip.core.sidecar.Job.Stage;

/**
 * The rules for calls that the log gave to this life of the sidecar: each runs at most
 * once, and everyone who asks gets the same outcome. Confined to one application of the
 * reducer.
 */
final class ClaimRules {

	private final StateBuilder builder;

	ClaimRules(StateBuilder draft) {
		this.builder = draft;
	}

	/**
	 * Takes a claimed call, having read the log up to its claim.
	 * @param arrival the attempt
	 * @param standing the claim it names
	 */
	void handle(IncomingAttempt arrival, Standing.ForClaimedCall standing) {
		Optional<ClaimState> claim = this.builder.log.ledger().claim(standing.key());
		if (claim.isEmpty() || !claim.get().executor().equals(this.builder.self)) {
			this.builder.refuse(arrival, EntryRules.retryableRefusal(FailureCause.MOVED, "The claim was released."));
			return;
		}
		if (!claim.get().content().equals(arrival.call().content())) {
			this.builder.refuse(arrival,
					CallFailure.notRun(FailureCause.KEY_REUSED, "This key belongs to a call with other content."));
			return;
		}
		if (claim.get().outcome().isPresent()) {
			this.builder.finish(arrival.entry(), arrival.attempt(), claim.get().outcome().get());
			return;
		}
		JobKey.ForClaim key = new JobKey.ForClaim(standing.key());
		Optional<Job> job = this.builder.job(key);
		if (job.isPresent()) {
			attach(arrival, job.get());
			return;
		}
		Optional<CallFailure> refusal = refusalFor(standing.key());
		if (refusal.isPresent()) {
			release(key, arrival, refusal.get());
			return;
		}
		// This life holds the claim, has no outcome and no job for it: it never ran it,
		// and no other process may. Running it now is the first time.
		List<String> added = arrival.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.builder).enqueue(key, arrival, added);
	}

	// An earlier release of this key whose append had no answer may yet take effect. It
	// would release this claim while the call runs, and another process would run it a
	// second time. What does not run here can be released any number of times.
	private Optional<CallFailure> refusalFor(CallKey key) {
		if (this.builder.uncertainReleases.contains(key)) {
			return Optional.of(EntryRules.retryableRefusal(FailureCause.MOVED, "The claim was released."));
		}
		return new EntryRules(this.builder).unavailability();
	}

	private void release(JobKey.ForClaim key, IncomingAttempt arrival, CallFailure refusal) {
		Job job = new QueueRules(this.builder).createJob(key, arrival, List.of());
		this.builder.jobsByAttempt = this.builder.jobsByAttempt.put(arrival.attempt(), key);
		appendOutcome(job, key.key(), new CallOutcome.Failed(refusal));
	}

	private void attach(IncomingAttempt arrival, Job job) {
		if (job.stage() instanceof Stage.Committing settling && settling.timedOut()) {
			this.builder.finish(arrival.entry(), arrival.attempt(), settling.outcome());
			return;
		}
		new HomeRules(this.builder).join(arrival, job);
	}

	/**
	 * Writes the outcome of a claimed call to the log.
	 * @param job the job
	 * @param key the key of the call
	 * @param outcome the outcome
	 */
	void appendOutcome(Job job, CallKey key, CallOutcome outcome) {
		new HomeRules(this.builder).awaitCommit(job, outcome);
		this.builder.append(new LedgerRecord.CallSettled(key, this.builder.self, outcome));
	}

	/**
	 * Tells the outcome of a claimed call, since the log holds it.
	 * @param key the key of the call
	 */
	void outcomeCommitted(CallKey key) {
		JobKey name = new JobKey.ForClaim(key);
		Optional<Job> job = this.builder.job(name);
		if (job.isPresent() && job.get().stage() instanceof Stage.Committing settling) {
			this.builder.jobs = this.builder.jobs.remove(name);
			this.builder.finishAll(job.get(), settling.outcome());
		}
	}

}
