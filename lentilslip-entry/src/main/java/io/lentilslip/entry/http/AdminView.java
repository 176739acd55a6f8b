package io.lentilslip.entry.http;

import java.util.Locale;

import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.core.identity.ZoneName;

/**
 * The state of an entry as operators see it. Immutable and safe for use by several
 * threads.
 *
 * @param status what the reducer knows
 * @param zone the availability zone of the entry
 * @param openCalls the number of requests that wait for their answers
 * @param connections the number of open connections of callers
 */
public record AdminView(EntryStatus status, ZoneName zone, int openCalls, int connections) {

	private static final long NOT_CONFIGURED = -1;

	/**
	 * Returns whether the entry takes calls.
	 * @return whether the entry takes calls
	 */
	Readiness readiness() {
		if (this.status.stopping()) {
			return Readiness.STOPPING;
		}
		return (this.status.configurationVersion() == NOT_CONFIGURED) ? Readiness.WAITING : Readiness.READY;
	}

	/**
	 * Whether an entry takes calls. Safe for use by several threads.
	 */
	enum Readiness {

		/**
		 * It waits for its first configuration.
		 */
		WAITING,

		/**
		 * It takes calls.
		 */
		READY,

		/**
		 * It is stopping: calls under way end, new ones are refused.
		 */
		STOPPING;

		/**
		 * Returns the text by which operators see this.
		 * @return the text
		 */
		String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
