package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;

/**
 * An attempt that an entry sent. Immutable and safe for use by several threads.
 *
 * @param attempt the attempt
 * @param entry the entry that made it
 * @param call the call
 * @param standing by what right the sidecar may run it
 * @param deadline when the caller gives up
 * @param delivered the text of the answer that the caller already has
 */
record Arrival(AttemptId attempt, ProcessId entry, CallRequest call, ExecutionAuthority standing, Instant deadline,
		String delivered) {

	/**
	 * Returns the model call that this attempt asks for.
	 * @return the call, or an empty result for a call of a plain service
	 */
	Optional<CallRequest.ForModel> modelCall() {
		return (this.call instanceof CallRequest.ForModel model) ? Optional.of(model) : Optional.empty();
	}

	/**
	 * Returns the number that the caller gave to the call.
	 * @return the number, or an empty result
	 */
	Optional<Integer> number() {
		return this.call.programCall().flatMap(ProgramCall::number);
	}

}
