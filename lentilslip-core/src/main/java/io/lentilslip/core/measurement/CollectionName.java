package io.lentilslip.core.measurement;

/**
 * Queue, map or cache whose size and capacity are measured. Every collection that
 * outlives a single event has a constant, so that none can grow unnoticed. Safe for use
 * by several threads.
 */
public enum CollectionName implements Label {

	/**
	 * Programs with a known home.
	 */
	PROGRAMS,

	/**
	 * Calls that wait for an upstream.
	 */
	WAITING_CALLS,

	/**
	 * Calls in flight at an upstream.
	 */
	RUNNING_CALLS,

	/**
	 * Idempotency keys with the records of their calls.
	 */
	IDEMPOTENCY_RECORDS,

	/**
	 * Turns that wait for the log service.
	 */
	PENDING_TURNS,

	/**
	 * Turns of histories in memory.
	 */
	HISTORY_TURNS,

	/**
	 * Known upstreams.
	 */
	UPSTREAMS,

	/**
	 * Connections to peers.
	 */
	LINKS,

	/**
	 * Groups with pending work or recently accounted service.
	 */
	ACTIVE_GROUPS,

	/**
	 * Reserved slices of budgets.
	 */
	BUDGET_SLICES,

	/**
	 * Prefixes that are assumed to be cached by an engine.
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
	MAILBOX,

	/**
	 * Requests by which a relay distinguishes poison targets from harmless ones.
	 */
	REQUEST_TARGETS,

	/**
	 * Stored turns whose records a relay may have to renew.
	 */
	RETAINED_TURNS,

	/**
	 * Programs whose usage a relay may have to renew.
	 */
	RETAINED_PROGRAMS,

	/**
	 * Streams whose software versions a relay knows.
	 */
	STREAM_VERSIONS,

	/**
	 * Bytes that a relay keeps of streams in flight: texts of turns, and events that wait
	 * for the log.
	 */
	KEPT_RESPONSES,

	/**
	 * Bytes of requests and responses that a relay holds for slow callers, and of
	 * responses that are not complete.
	 */
	HELD_BYTES

}
