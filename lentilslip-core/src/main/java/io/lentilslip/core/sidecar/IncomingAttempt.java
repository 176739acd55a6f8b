package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;

/**
 * Immutable attempt received from an entry, with the deadline in the time of this
 * process. Safe for use by several threads.
 *
 * @param attempt the attempt
 * @param entry the entry that sent it
 * @param call the call
 * @param authority the ground on which this sidecar may run the call
 * @param deadline when the caller stops waiting
 * @param delivered the part of the answer that the caller has already received
 */
record IncomingAttempt(AttemptId attempt, ProcessId entry, CallRequest call, ExecutionAuthority authority,
		Instant deadline, String delivered) {

	/**
	 * Returns the model call of this attempt.
	 * @return the call, or an empty result for a service call
	 */
	Optional<CallRequest.ForModel> modelCall() {
		return (this.call instanceof CallRequest.ForModel model) ? Optional.of(model) : Optional.empty();
	}

	/**
	 * Returns the call number chosen by the caller.
	 * @return the number, or an empty result
	 */
	Optional<Integer> callNumber() {
		return this.call.programCall().flatMap(ProgramCall::number);
	}

}
