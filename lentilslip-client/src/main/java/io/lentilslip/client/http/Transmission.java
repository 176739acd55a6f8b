package io.lentilslip.client.http;

import io.lentilslip.core.verdict.Verdict;

/**
 * A statement of how far one attempt to send a request came. It only ever grows: once a
 * request may have been sent, no later event takes that back. Safe for use by several
 * threads.
 */
public enum Transmission {

	/**
	 * No byte of the request was handed to a connection, and none will be.
	 */
	NEVER_SENT(Verdict.NOT_RUN),

	/**
	 * Some bytes of the request, perhaps all, may have reached the other side.
	 */
	MAY_HAVE_BEEN_SENT(Verdict.MAY_HAVE_RUN);

	private final Verdict verdict;

	Transmission(Verdict verdict) {
		this.verdict = verdict;
	}

	/**
	 * Returns what this tells of the request's execution when no answer came.
	 * @return {@link Verdict#NOT_RUN} only if nothing was sent, never {@link Verdict#RAN}
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
