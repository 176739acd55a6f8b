package io.lentilslip.client.log;

import java.time.Duration;
import java.util.Optional;

/**
 * How an append ended. Implementations are immutable and safe for use by several threads.
 */
public sealed interface AppendOutcome {

	/**
	 * The log holds the record.
	 *
	 * @param offset the offset of the record
	 */
	record Appended(long offset) implements AppendOutcome {

	}

	/**
	 * The log surely does not hold the record and will not.
	 *
	 * @param reason what happened, for people
	 * @param retryAfter when to try again, if the log said so
	 */
	record NotAppended(String reason, Optional<Duration> retryAfter) implements AppendOutcome {

	}

	/**
	 * The log may hold the record, or may yet.
	 *
	 * @param reason what happened, for people
	 */
	record Unknown(String reason) implements AppendOutcome {

	}

}
