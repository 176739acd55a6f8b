package io.lentilslip.core.link;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.Epoch;

/**
 * Claim by which an entry directs a sidecar to run a call. The sidecar checks it against
 * its own view of the log. Implementations are immutable and thread-safe.
 */
public sealed interface ExecutionAuthority {

	/**
	 * The sidecar is the home of the call's program.
	 *
	 * @param home the claimed sidecar process
	 * @param epoch the epoch of the claim
	 * @param offset the offset of the claim, which the sidecar must have read
	 */
	record ForHome(ProcessId home, Epoch epoch, long offset) implements ExecutionAuthority {

	}

	/**
	 * The sidecar is the executor of a claimed call.
	 *
	 * @param key the key of the call
	 * @param executor the claimed sidecar process
	 * @param offset the offset of the claim, which the sidecar must have read
	 */
	record ForClaimedCall(CallKey key, ProcessId executor, long offset) implements ExecutionAuthority {

	}

	/**
	 * The call belongs to no program and has no key: the receiving sidecar may run it
	 * once.
	 */
	record ForSingleCall() implements ExecutionAuthority {

	}

}
