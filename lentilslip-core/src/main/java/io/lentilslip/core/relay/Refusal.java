package io.lentilslip.core.relay;

import io.lentilslip.core.verdict.Verdict;

/**
 * The reasons for which a relay responds to a request itself, or aborts its response.
 * Safe for use by several threads.
 */
public enum Refusal {

	/**
	 * No route matches the host and path.
	 */
	NO_ROUTE(Verdict.NOT_RUN),

	/**
	 * The request has no API key, or its key belongs to no team.
	 */
	KEY_UNKNOWN(Verdict.NOT_RUN),

	/**
	 * The quota of the team is exhausted.
	 */
	QUOTA_SPENT(Verdict.NOT_RUN),

	/**
	 * No relay that accounts for the quota of the team has responded.
	 */
	QUOTA_UNKNOWN(Verdict.NOT_RUN),

	/**
	 * The service has no room for another program.
	 */
	OVERLOADED(Verdict.NOT_RUN),

	/**
	 * The input of the turn exceeds the size that fits into a log record.
	 */
	TOO_LONG(Verdict.NOT_RUN),

	/**
	 * The turn would exceed the budget of its program.
	 */
	BUDGET_SPENT(Verdict.NOT_RUN),

	/**
	 * The relay has not yet loaded the state that it needs to decide.
	 */
	NOT_READY(Verdict.NOT_RUN),

	/**
	 * The relay reaches neither the log nor enough other relays.
	 */
	ISOLATED(Verdict.NOT_RUN),

	/**
	 * The log is needed to decide whether the budget admits the turn, and no decision was
	 * reached in time.
	 */
	LOG_LOST(Verdict.NOT_RUN),

	/**
	 * The turn to continue was not found, but may exist.
	 */
	TURN_UNCERTAIN(Verdict.NOT_RUN),

	/**
	 * No upstream is available, or none accepted the request.
	 */
	NO_UPSTREAM(Verdict.NOT_RUN),

	/**
	 * No upstream of the software version that started the stream is left.
	 */
	VERSION_GONE(Verdict.NOT_RUN),

	/**
	 * The software version that started the stream is not known here.
	 */
	VERSION_UNKNOWN(Verdict.NOT_RUN),

	/**
	 * The relay is draining, and the request might not end before the relay does.
	 */
	DRAINING(Verdict.NOT_RUN),

	/**
	 * The deadline passed before the request was sent to an upstream.
	 */
	EXPIRED(Verdict.NOT_RUN),

	/**
	 * The request made several upstreams fail and is not run again.
	 */
	BLAMED(Verdict.NOT_RUN),

	/**
	 * The deadline has passed, and the request may have run.
	 */
	NO_ANSWER_IN_TIME(Verdict.MAY_HAVE_RUN),

	/**
	 * The response of the upstream was lost, and the request may have run.
	 */
	ANSWER_LOST(Verdict.MAY_HAVE_RUN),

	/**
	 * The turn has run, but the log did not confirm it before the deadline.
	 */
	NOT_STORED_IN_TIME(Verdict.RAN);

	private final Verdict verdict;

	Refusal(Verdict verdict) {
		this.verdict = verdict;
	}

	/**
	 * Returns what is known about the execution of the request.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
