package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.verdict.Verdict;

/**
 * Rules for completing calls. Confined to one application of the reducer.
 */
final class CompletionRules {

	private final Draft draft;

	CompletionRules(Draft draft) {
		this.draft = draft;
	}

	/**
	 * Completes a call. The verdict of a failure includes all earlier attempts: a call
	 * that may have run is never reported as not run.
	 * @param call the call
	 * @param outcome the outcome of the last attempt
	 */
	void complete(Call call, CallOutcome outcome) {
		this.draft.remove(call);
		this.draft.removeWaiting(call);
		if (call.phase() instanceof Call.Phase.Sent sent) {
			this.draft.removeAttempt(sent);
		}
		CallOutcome result = switch (outcome) {
			case CallOutcome.Completed answered -> answered;
			case CallOutcome.Failed failed -> new CallOutcome.Failed(failed.failure().combineWith(call.verdict()));
		};
		this.draft.emit(new EntryEffect.Complete(call.ticket(), result));
		recordOutcome(call, result);
		switch (result) {
			case CallOutcome.Completed answered -> settle(call, call.verdict(), usageOf(answered.response()));
			case CallOutcome.Failed failed -> settle(call, failed.failure().verdict(), Usage.NONE);
		}
	}

	/**
	 * Charges a call to the budget of its group. If an attempt has an unknown outcome, at
	 * least the tokens held for the call are charged.
	 * @param call the call
	 * @param unanswered the verdict over the attempts without an answer
	 * @param usage the tokens reported by the answer
	 */
	void settle(Call call, Verdict unanswered, Usage usage) {
		GroupName group = call.request().group();
		Optional<Account<Ticket>> account = this.draft.accounts.get(group).toJavaOptional();
		if (account.isEmpty()) {
			return;
		}
		Ticket ticket = call.ticket();
		long minimum = (unanswered == Verdict.NOT_RUN) ? 0 : account.get().heldFor(ticket);
		long tokens = (call.attempts() == 0) ? 0 : Math.max(minimum, usage.total());
		this.draft.putAndAdvance(group, account.get().removeWaiting(ticket).settle(ticket, tokens));
	}

	void refuse(Call call, CallFailure failure) {
		complete(call, new CallOutcome.Failed(failure));
	}

	private void recordOutcome(Call call, CallOutcome outcome) {
		switch (outcome) {
			case CallOutcome.Completed answered ->
				measure(call, Measurement.CallEnded.Outcome.ANSWERED, usageOf(answered.response()));
			case CallOutcome.Failed failed -> {
				CallFailure failure = failed.failure();
				this.draft.measure(new Measurement.CallRefused(Optional.of(call.request().group()),
						Refusals.reasonOf(failure.cause())));
				measure(call, labelOf(failure), Usage.NONE);
				report(call, failure);
			}
		}
	}

	private static Measurement.CallEnded.Outcome labelOf(CallFailure failure) {
		if (failure.verdict() == Verdict.NOT_RUN) {
			return Measurement.CallEnded.Outcome.NOT_RUN;
		}
		return (failure.cause() == FailureCause.UPSTREAM_FAILED) ? Measurement.CallEnded.Outcome.UPSTREAM_ERROR
				: Measurement.CallEnded.Outcome.UNKNOWN;
	}

	private void report(Call call, CallFailure failure) {
		NoticeCode code = (failure.verdict() == Verdict.NOT_RUN) ? NoticeCode.CALL_REFUSED : NoticeCode.OUTCOME_UNKNOWN;
		Notice notice = code.with(FieldName.GROUP, call.request().group()).with(FieldName.REASON, failure.cause());
		Optional<ProgramId> program = call.request().programCall().map(ProgramCall::program);
		this.draft.report(program.map((each) -> notice.with(FieldName.PROGRAM, each)).orElse(notice));
	}

	private static Usage usageOf(CallResponse answer) {
		return switch (answer) {
			case CallResponse.FromModel model -> model.usage();
			case CallResponse.FromService service -> Usage.NONE;
		};
	}

	void measure(Call call, Measurement.CallEnded.Outcome outcome, Usage usage) {
		Optional<Duration> firstToken = call.firstToken().map((time) -> Duration.between(call.arrived(), time));
		this.draft.measure(new Measurement.CallEnded(call.request().group(), serviceClassOf(call), outcome,
				Duration.between(call.arrived(), this.draft.now), call.queueing(), firstToken, usage.promptTokens(),
				usage.cachedTokens(), usage.generatedTokens()));
	}

	private String serviceClassOf(Call call) {
		return this.draft.activeConfiguration
			.flatMap((active) -> call.request()
				.programCall()
				.map((programCall) -> active.configuration()
					.classOf(call.request().group(), programCall.program().name())))
			.orElse(ServiceClass.INTERACTIVE)
			.name();
	}

}
