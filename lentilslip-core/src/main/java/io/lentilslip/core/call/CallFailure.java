package io.lentilslip.core.call;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.verdict.Verdict;

/**
 * A call that had no answer, and what is known of its execution. Immutable and safe for
 * use by several threads.
 *
 * @param verdict whether the request may have run
 * @param cause why there is no answer
 * @param message a sentence for the caller, without details of the system's inside
 * @param retryAfter when the caller may ask again, if that makes sense
 */
public record CallFailure(Verdict verdict, FailureCause cause, String message, Optional<Duration> retryAfter) {

	/**
	 * Creates a failure.
	 * @param verdict whether the request may have run
	 * @param cause why there is no answer
	 * @param message a sentence for the caller, without details of the system's inside
	 * @param retryAfter when the caller may ask again, if that makes sense
	 */
	public CallFailure {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(cause, "cause");
		Objects.requireNonNull(message, "message");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns the failure of a request that surely did not run.
	 * @param cause why there is no answer
	 * @param message a sentence for the caller
	 * @return the failure
	 */
	public static CallFailure notRun(FailureCause cause, String message) {
		return new CallFailure(Verdict.NOT_RUN, cause, message, Optional.empty());
	}

	/**
	 * Returns the failure of a request that may have run.
	 * @param cause why there is no answer
	 * @param message a sentence for the caller
	 * @return the failure
	 */
	public static CallFailure mayHaveRun(FailureCause cause, String message) {
		return new CallFailure(Verdict.MAY_HAVE_RUN, cause, message, Optional.empty());
	}

	/**
	 * Returns the failure of a call of a program that has ended. A resend of a call whose
	 * turn is in the history is not told that it did not run; later turns can never be
	 * added.
	 * @param call the call
	 * @param lastCall the number of the program's last turn
	 * @return the failure
	 */
	public static CallFailure ofEndedProgram(CallRequest call, int lastCall) {
		boolean later = call instanceof CallRequest.ForModel
				&& call.programCall().flatMap(ProgramCall::number).filter((number) -> number > lastCall).isPresent();
		Verdict verdict = (later) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		return new CallFailure(verdict, FailureCause.PROGRAM_ENDED, "The program has ended.", Optional.empty());
	}

	/**
	 * Returns this failure with a time after which the caller may ask again.
	 * @param delay the time to wait
	 * @return a failure with the time
	 */
	public CallFailure retryAfter(Duration delay) {
		return new CallFailure(this.verdict, this.cause, this.message, Optional.of(delay));
	}

	/**
	 * Returns this failure after an earlier attempt of the same request: the verdict is
	 * never better than that of the earlier attempt.
	 * @param earlier the verdict of the earlier attempt
	 * @return a failure with the verdict over both attempts
	 */
	public CallFailure combineWith(Verdict earlier) {
		return new CallFailure(this.verdict.combine(earlier), this.cause, this.message, this.retryAfter);
	}

}
