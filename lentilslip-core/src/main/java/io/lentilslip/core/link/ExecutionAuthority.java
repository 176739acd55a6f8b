package io.lentilslip.core.link;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.Epoch;

/**
 * By what right an entry asks a sidecar to run a call. The sidecar compares it with its
 * own reading of the log. Implementations are immutable and safe for use by several
 * threads.
 */
public sealed interface ExecutionAuthority {

	/**
	 * The sidecar is the home of the call's program.
	 *
	 * @param home the life of the sidecar that was claimed
	 * @param epoch the epoch of the claim
	 * @param offset the offset of the claim, up to which the sidecar must have read
	 */
	record ForHome(ProcessId home, Epoch epoch, long offset) implements ExecutionAuthority {

	}

	/**
	 * The sidecar is the executor of a claimed call.
	 *
	 * @param key the key of the call
	 * @param executor the life of the sidecar that was claimed
	 * @param offset the offset of the claim, up to which the sidecar must have read
	 */
	record ForClaimedCall(CallKey key, ProcessId executor, long offset) implements ExecutionAuthority {

	}

	/**
	 * The call belongs to no program and bears no key: whoever gets it may run it once.
	 */
	record ForSingleCall() implements ExecutionAuthority {

	}

}
