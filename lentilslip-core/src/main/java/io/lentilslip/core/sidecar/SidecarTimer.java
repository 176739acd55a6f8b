package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;

/**
 * Immutable timers of a sidecar. The condition that a timer was set for may no longer
 * hold when it fires, so the handler checks it again. Safe for use by several threads.
 */
sealed interface SidecarTimer {

	/**
	 * The outcome of a job should have been committed.
	 *
	 * @param key the job
	 */
	record CommitTimeout(JobKey key) implements SidecarTimer {

	}

	/**
	 * A job without listeners should have been requested again.
	 *
	 * @param key the job
	 */
	record OrphanTimeout(JobKey key) implements SidecarTimer {

	}

	/**
	 * A record whose append failed is to be appended again.
	 *
	 * @param record the record
	 */
	record AppendRetry(LedgerRecord record) implements SidecarTimer {

	}

	/**
	 * A release whose append result is unknown can no longer take effect.
	 *
	 * @param key the key that was released
	 */
	record UncertainReleaseExpiry(CallKey key) implements SidecarTimer {

	}

	/**
	 * The release of a cache is to be requested from the engine again.
	 *
	 * @param program the program
	 */
	record SessionReleaseRetry(ProgramId program) implements SidecarTimer {

	}

	/**
	 * A program may have reached its idle time or its lifetime.
	 *
	 * @param program the program
	 */
	record ProgramAgeCheck(ProgramId program) implements SidecarTimer {

	}

	/**
	 * The log should have been read up to the offset that an attempt requires.
	 *
	 * @param attempt the attempt
	 */
	record LogWaitTimeout(AttemptId attempt) implements SidecarTimer {

	}

	/**
	 * The preceding calls of a waiting one should have arrived, or its deadline has
	 * passed.
	 *
	 * @param program the program
	 * @param attempt the attempt
	 */
	record WaitingCallCheck(ProgramId program, AttemptId attempt) implements SidecarTimer {

	}

}
