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
 * The rules for calls that the log gave to this life of the sidecar: each runs at most
 * once, and everyone who asks gets the same outcome. Confined to one application of the
 * reducer.
 */
final class ClaimRules {

	private final Draft draft;

	ClaimRules(Draft draft) {
		this.draft = draft;
	}

	/**
	 * Takes a claimed call, having read the log up to its claim.
	 * @param arrival the attempt
	 * @param standing the claim it names
	 */
	void arrive(Arrival arrival, ExecutionAuthority.ForClaimedCall standing) {
		Optional<ClaimState> claim = this.draft.log.ledger().claim(standing.key());
		if (claim.isEmpty() || !claim.get().executor().equals(this.draft.self)) {
			this.draft.refuse(arrival, EntryRules.notRunSoon(FailureCause.MOVED, "The claim was released."));
			return;
		}
		if (!claim.get().content().equals(arrival.call().contentDigest())) {
			this.draft.refuse(arrival,
					CallFailure.notRun(FailureCause.KEY_REUSED, "This key belongs to a call with other content."));
			return;
		}
		if (claim.get().outcome().isPresent()) {
			this.draft.finish(arrival.entry(), arrival.attempt(), claim.get().outcome().get());
			return;
		}
		JobKey.ForClaim key = new JobKey.ForClaim(standing.key());
		Optional<Job> job = this.draft.job(key);
		if (job.isPresent()) {
			meet(arrival, job.get());
			return;
		}
		Optional<CallFailure> refusal = refusalOf(standing.key());
		if (refusal.isPresent()) {
			release(key, arrival, refusal.get());
			return;
		}
		// This life holds the claim, has no outcome and no job for it: it never ran it,
		// and no other process may. Running it now is the first time.
		List<String> added = arrival.modelCall().map(CallRequest.ForModel::messages).orElse(List.of());
		new QueueRules(this.draft).enqueue(key, arrival, added);
	}

	// An earlier release of this key whose append had no answer may yet take effect. It
	// would release this claim while the call runs, and another process would run it a
	// second time. What does not run here can be released any number of times.
	private Optional<CallFailure> refusalOf(CallKey key) {
		if (this.draft.unsureReleases.contains(key)) {
			return Optional.of(EntryRules.notRunSoon(FailureCause.MOVED, "The claim was released."));
		}
		return new EntryRules(this.draft).refusalOfNew();
	}

	private void release(JobKey.ForClaim key, Arrival arrival, CallFailure refusal) {
		Job job = new QueueRules(this.draft).jobOf(key, arrival, List.of());
		this.draft.attempts = this.draft.attempts.put(arrival.attempt(), key);
		ended(job, key.key(), new CallOutcome.Failed(refusal));
	}

	private void meet(Arrival arrival, Job job) {
		if (job.stage() instanceof Stage.Settling settling && settling.overdue()) {
			this.draft.finish(arrival.entry(), arrival.attempt(), settling.outcome());
			return;
		}
		new HomeRules(this.draft).join(arrival, job);
	}

	/**
	 * Writes the outcome of a claimed call to the log.
	 * @param job the job
	 * @param key the key of the call
	 * @param outcome the outcome
	 */
	void ended(Job job, CallKey key, CallOutcome outcome) {
		new HomeRules(this.draft).settle(job, outcome);
		this.draft.append(new LedgerRecord.CallSettled(key, this.draft.self, outcome));
	}

	/**
	 * Tells the outcome of a claimed call, since the log holds it.
	 * @param key the key of the call
	 */
	void settled(CallKey key) {
		JobKey name = new JobKey.ForClaim(key);
		Optional<Job> job = this.draft.job(name);
		if (job.isPresent() && job.get().stage() instanceof Stage.Settling settling) {
			this.draft.jobs = this.draft.jobs.remove(name);
			this.draft.finishAll(job.get(), settling.outcome());
		}
	}

}
