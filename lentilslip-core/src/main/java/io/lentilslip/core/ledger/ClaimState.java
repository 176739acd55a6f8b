package io.lentilslip.core.ledger;

import java.util.Optional;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;

/**
 * Immutable state of a claimed call, derived from the log. Safe for use by several
 * threads.
 *
 * @param content the digest of the request
 * @param executor the only process that may run the call
 * @param claimPosition the position of the claim in the log
 * @param outcome the outcome, if the executor has appended one
 */
public record ClaimState(Digest content, ProcessId executor, Position claimPosition, Optional<CallOutcome> outcome) {

	ClaimState withOutcome(CallOutcome value) {
		return new ClaimState(this.content, this.executor, this.claimPosition, Optional.of(value));
	}

}
