package io.lentilslip.core.call;

/**
 * Why a call had no answer. Safe for use by several threads.
 */
public enum FailureCause {

	/**
	 * The request is malformed or names what does not exist.
	 */
	INVALID(400, false),

	/**
	 * The caller is unknown.
	 */
	UNAUTHORIZED(401, false),

	/**
	 * The caller may not use this group or program.
	 */
	FORBIDDEN(403, false),

	/**
	 * The program, model or service does not exist.
	 */
	NOT_FOUND(404, false),

	/**
	 * The messages do not begin with the history held.
	 */
	HISTORY_MISMATCH(409, false),

	/**
	 * A call before this one has not run.
	 */
	OUT_OF_ORDER(409, true),

	/**
	 * The key or number belongs to a request with other content.
	 */
	KEY_REUSED(409, false),

	/**
	 * The program has ended.
	 */
	PROGRAM_ENDED(410, false),

	/**
	 * A body, history or answer is larger than allowed.
	 */
	TOO_LARGE(413, false),

	/**
	 * The program has reached a limit, such as its number of turns.
	 */
	LIMIT_REACHED(422, false),

	/**
	 * The request crashed as many upstreams as are allowed to it.
	 */
	CRASHES_UPSTREAMS(422, false),

	/**
	 * The group's budget of this period is spent.
	 */
	BUDGET_EXHAUSTED(429, true),

	/**
	 * A queue is full.
	 */
	QUEUE_FULL(429, true),

	/**
	 * The deadline passed while the request waited.
	 */
	DEADLINE_PASSED(504, false),

	/**
	 * The process is stopping: another one takes the request.
	 */
	STOPPING(503, true),

	/**
	 * The process waits for its configuration or for the log.
	 */
	NOT_READY(503, true),

	/**
	 * No upstream for this request can be reached.
	 */
	NO_UPSTREAM(503, true),

	/**
	 * The log service cannot be reached and the request needs it.
	 */
	LOG_UNAVAILABLE(503, true),

	/**
	 * The program has another home than the one asked.
	 */
	MOVED(503, true),

	/**
	 * The upstream failed.
	 */
	UPSTREAM_FAILED(502, true),

	/**
	 * An attempt may have run and its outcome cannot be learned.
	 */
	OUTCOME_UNKNOWN(502, false),

	/**
	 * The caller gave the request up.
	 */
	CANCELLED(499, false),

	/**
	 * A fault of this system.
	 */
	INTERNAL(500, false);

	private final int status;

	private final boolean transientCause;

	FailureCause(int status, boolean transientCause) {
		this.status = status;
		this.transientCause = transientCause;
	}

	/**
	 * Returns the HTTP status by which callers see this cause.
	 * @return the HTTP status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the same request may succeed later.
	 * @return {@code true} if asking again later makes sense
	 */
	public boolean isTransient() {
		return this.transientCause;
	}

}
