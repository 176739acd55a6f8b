package io.lentilslip.core.call;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.verdict.Verdict;

/**
 * Immutable failure of a call without a response, with what is known of its execution.
 * Thread-safe.
 *
 * @param verdict whether the request may have been executed
 * @param cause the cause of the failure
 * @param message a message for the caller, without internal details
 * @param retryAfter the delay after which the caller may retry, if a retry is useful
 */
public record CallFailure(Verdict verdict, FailureCause cause, String message, Optional<Duration> retryAfter) {

	/**
	 * Creates a failure.
	 * @param verdict whether the request may have been executed
	 * @param cause the cause of the failure
	 * @param message a message for the caller, without internal details
	 * @param retryAfter the delay after which the caller may retry, if a retry is useful
	 */
	public CallFailure {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(cause, "cause");
		Objects.requireNonNull(message, "message");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns the failure of a request that was not executed.
	 * @param cause the cause of the failure
	 * @param message a message for the caller
	 * @return the failure
	 */
	public static CallFailure notRun(FailureCause cause, String message) {
		return new CallFailure(Verdict.NOT_RUN, cause, message, Optional.empty());
	}

	/**
	 * Returns the failure of a request that may have been executed.
	 * @param cause the cause of the failure
	 * @param message a message for the caller
	 * @return the failure
	 */
	public static CallFailure mayHaveRun(FailureCause cause, String message) {
		return new CallFailure(Verdict.MAY_HAVE_RUN, cause, message, Optional.empty());
	}

	/**
	 * Returns the failure of a call of a program that has ended. A call with a number
	 * after the last turn cannot have been executed; any other call may be a retry of a
	 * turn in the history.
	 * @param call the call
	 * @param lastCall the number of the program's last turn
	 * @return the failure
	 */
	public static CallFailure ofEndedProgram(CallRequest call, int lastCall) {
		boolean afterLastTurn = call instanceof CallRequest.ForModel
				&& call.programCall().flatMap(ProgramCall::number).filter((number) -> number > lastCall).isPresent();
		Verdict verdict = (afterLastTurn) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		return new CallFailure(verdict, FailureCause.PROGRAM_ENDED, "The program has ended.", Optional.empty());
	}

	/**
	 * Returns this failure with a retry delay.
	 * @param delay the delay after which the caller may retry
	 * @return a failure with the delay
	 */
	public CallFailure retryAfter(Duration delay) {
		return new CallFailure(this.verdict, this.cause, this.message, Optional.of(delay));
	}

	/**
	 * Returns this failure combined with the verdict of an earlier attempt of the
	 * request. The resulting verdict is never {@link Verdict#NOT_RUN} if the earlier
	 * attempt may have run.
	 * @param earlier the verdict of the earlier attempt
	 * @return a failure with the combined verdict
	 */
	public CallFailure combineWith(Verdict earlier) {
		return new CallFailure(this.verdict.combine(earlier), this.cause, this.message, this.retryAfter);
	}

}
