package io.lentilslip.core.measurement;

/**
 * A queue, map or cache whose size and bound are measured. A collection that is missing
 * here can grow unseen, so each one that a process holds for longer than one event has a
 * constant. Safe for use by several threads.
 */
public enum CollectionName implements Label {

	/**
	 * Programs with a home that is known here.
	 */
	PROGRAMS,

	/**
	 * Calls that wait to be sent to an upstream.
	 */
	WAITING_CALLS,

	/**
	 * Calls that an upstream is running.
	 */
	RUNNING_CALLS,

	/**
	 * Idempotency keys with the record of their run.
	 */
	IDEMPOTENCY_RECORDS,

	/**
	 * Turns that wait for the log service.
	 */
	PENDING_TURNS,

	/**
	 * Turns of histories that are held in memory.
	 */
	HISTORY_TURNS,

	/**
	 * Upstreams that are known.
	 */
	UPSTREAMS,

	/**
	 * Links to peers.
	 */
	LINKS,

	/**
	 * Groups with work, or with service still counted.
	 */
	ACTIVE_GROUPS,

	/**
	 * Slices of budgets that are held.
	 */
	BUDGET_SLICES,

	/**
	 * Prefixes that are believed to be cached by an engine.
	 */
	PREFIX_BELIEFS,

	/**
	 * Leases on engine memory.
	 */
	KV_LEASES,

	/**
	 * Requests that crashed an upstream.
	 */
	CRASH_RECORDS,

	/**
	 * Records that wait for an append.
	 */
	APPEND_QUEUE,

	/**
	 * Events that wait for the reducer.
	 */
	MAILBOX

}
