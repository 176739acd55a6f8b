package io.lentilslip.core.sidecar;

import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;

/**
 * Something to look at when its time comes. It may have become needless by then.
 * Implementations are immutable and safe for use by several threads.
 */
sealed interface SidecarTimer {

	/**
	 * The outcome of a job should be in the log.
	 *
	 * @param key the job
	 */
	record CommitTimeout(JobKey key) implements SidecarTimer {

	}

	/**
	 * Someone should have asked again for the answer of a job that nobody waits for.
	 *
	 * @param key the job
	 */
	record OrphanTimeout(JobKey key) implements SidecarTimer {

	}

	/**
	 * A record whose append failed may be appended again.
	 *
	 * @param record the record
	 */
	record AppendRetry(LedgerRecord record) implements SidecarTimer {

	}

	/**
	 * A release whose append had no answer can no longer take effect.
	 *
	 * @param key the key that was released
	 */
	record UncertainReleaseExpiry(CallKey key) implements SidecarTimer {

	}

	/**
	 * The engine may be told again to release the cache of a program.
	 *
	 * @param program the program
	 */
	record SessionReleaseRetry(ProgramId program) implements SidecarTimer {

	}

	/**
	 * A program may have been silent, or have lived, for too long.
	 *
	 * @param program the program
	 */
	record ProgramAgeCheck(ProgramId program) implements SidecarTimer {

	}

	/**
	 * The log should have been read up to what an attempt names.
	 *
	 * @param attempt the attempt
	 */
	record LogWaitTimeout(AttemptId attempt) implements SidecarTimer {

	}

	/**
	 * The calls before a waiting one should have arrived, or its deadline has come.
	 *
	 * @param program the program
	 * @param attempt the attempt
	 */
	record WaitingCallCheck(ProgramId program, AttemptId attempt) implements SidecarTimer {

	}

}
