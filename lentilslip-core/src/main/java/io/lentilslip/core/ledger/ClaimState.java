package io.lentilslip.core.ledger;

import java.util.Optional;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;

/**
 * What the log says of a claimed call. Immutable and safe for use by several threads.
 *
 * @param content the digest of what is asked
 * @param executor the only process that may run the call
 * @param claimPosition where the claim stands
 * @param outcome the outcome, if the executor wrote one
 */
public record ClaimState(Digest content, ProcessId executor, Position claimPosition, Optional<CallOutcome> outcome) {

	ClaimState withOutcome(CallOutcome value) {
		return new ClaimState(this.content, this.executor, this.claimPosition, Optional.of(value));
	}

}
