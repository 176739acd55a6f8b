package io.lentilslip.relay.store;

/**
 * Topics of the store that relays use. Safe for use by several threads.
 */
public enum Topic {

	/**
	 * The log: entries that relays replicate to each other.
	 */
	ENTRIES,

	/**
	 * The texts of turns, in many partitions, each written by few relays.
	 */
	TEXTS,

	/**
	 * The addresses of relays; compacted.
	 */
	RELAYS,

	/**
	 * Operator configuration; compacted.
	 */
	ROUTES,

	/**
	 * Registered upstreams; compacted.
	 */
	UPSTREAMS

}
