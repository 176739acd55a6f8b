package io.lentilslip.core.relay;

import io.lentilslip.core.verdict.Verdict;

/**
 * Why a relay answers a request itself. Safe for use by several threads.
 */
public enum Refusal {

	/**
	 * No route fits.
	 */
	NO_ROUTE(Verdict.NOT_RUN),

	/**
	 * The request has no API key, or one that no team holds.
	 */
	KEY_UNKNOWN(Verdict.NOT_RUN),

	/**
	 * The quota of the team is spent.
	 */
	QUOTA_SPENT(Verdict.NOT_RUN),

	/**
	 * None of the relays that count for the team answers.
	 */
	QUOTA_UNKNOWN(Verdict.NOT_RUN),

	/**
	 * The turn is too long for a record of the log.
	 */
	TOO_LONG(Verdict.NOT_RUN),

	/**
	 * The program's budget does not hold this turn.
	 */
	BUDGET_SPENT(Verdict.NOT_RUN),

	/**
	 * The relay has not read yet what it needs to decide.
	 */
	NOT_READY(Verdict.NOT_RUN),

	/**
	 * The relay reaches neither the log nor another relay.
	 */
	ISOLATED(Verdict.NOT_RUN),

	/**
	 * The relay does not reach the log, whose order would have to decide on the turn.
	 */
	LOG_LOST(Verdict.NOT_RUN),

	/**
	 * The turn that is continued from is not found, and may exist.
	 */
	TURN_UNCERTAIN(Verdict.NOT_RUN),

	/**
	 * No upstream takes the request.
	 */
	NO_UPSTREAM(Verdict.NOT_RUN),

	/**
	 * The request broke off several upstreams and is not run again.
	 */
	BLAMED(Verdict.NOT_RUN),

	/**
	 * The time ran out, and the request may have run.
	 */
	NO_ANSWER_IN_TIME(Verdict.MAY_HAVE_RUN),

	/**
	 * The upstream's answer was lost, and the request may have run.
	 */
	ANSWER_LOST(Verdict.MAY_HAVE_RUN),

	/**
	 * The turn ran, and neither the log nor enough other relays took it in time.
	 */
	NOT_STORED_IN_TIME(Verdict.RAN);

	private final Verdict verdict;

	Refusal(Verdict verdict) {
		this.verdict = verdict;
	}

	/**
	 * Returns what is known of the request's execution.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
