package io.lentilslip.core.call;

/**
 * Cause of a failed call. Thread-safe.
 */
public enum FailureCause {

	/**
	 * The request is malformed or refers to an unknown name.
	 */
	INVALID(400, false),

	/**
	 * The caller is not authenticated.
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
	 * The messages do not start with the stored history.
	 */
	HISTORY_MISMATCH(409, false),

	/**
	 * A preceding call of the program has not run.
	 */
	OUT_OF_ORDER(409, true),

	/**
	 * The key or number was already used for a request with different content.
	 */
	KEY_REUSED(409, false),

	/**
	 * The program has ended.
	 */
	PROGRAM_ENDED(410, false),

	/**
	 * A body, history or response exceeds its size limit.
	 */
	TOO_LARGE(413, false),

	/**
	 * The program has reached a limit, such as its number of turns.
	 */
	LIMIT_REACHED(422, false),

	/**
	 * The request reached the limit of upstream crashes.
	 */
	CRASHES_UPSTREAMS(422, false),

	/**
	 * The group's budget for this period is exhausted.
	 */
	BUDGET_EXHAUSTED(429, true),

	/**
	 * A queue is full.
	 */
	QUEUE_FULL(429, true),

	/**
	 * The deadline passed while the request was queued.
	 */
	DEADLINE_PASSED(504, false),

	/**
	 * The process is shutting down; another process can serve the request.
	 */
	STOPPING(503, true),

	/**
	 * The process is waiting for its configuration or for the log.
	 */
	NOT_READY(503, true),

	/**
	 * No upstream for this request is reachable.
	 */
	NO_UPSTREAM(503, true),

	/**
	 * The request requires the log service, which is unreachable.
	 */
	LOG_UNAVAILABLE(503, true),

	/**
	 * The receiving sidecar is not the home of the program.
	 */
	MOVED(503, true),

	/**
	 * The upstream failed.
	 */
	UPSTREAM_FAILED(502, true),

	/**
	 * An attempt may have run and its outcome cannot be determined.
	 */
	OUTCOME_UNKNOWN(502, false),

	/**
	 * The caller cancelled the request.
	 */
	CANCELLED(499, false),

	/**
	 * An internal error.
	 */
	INTERNAL(500, false);

	private final int status;

	private final boolean transientCause;

	FailureCause(int status, boolean transientCause) {
		this.status = status;
		this.transientCause = transientCause;
	}

	/**
	 * Returns the HTTP status returned to callers for this cause.
	 * @return the HTTP status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the same request may succeed later.
	 * @return {@code true} if the request may be retried
	 */
	public boolean isTransient() {
		return this.transientCause;
	}

}
