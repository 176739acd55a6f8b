package io.lentilslip.relay.store;

/**
 * What relays read from or write to the store, each a sequence of records with offsets.
 * Safe for use by several threads.
 */
public enum Topic {

	/**
	 * The entries that relays write for each other.
	 */
	ENTRIES,

	/**
	 * The texts of turns, in many partitions, each written by few relays.
	 */
	TEXTS,

	/**
	 * The addresses of relays, the newest record of each kept.
	 */
	RELAYS,

	/**
	 * What operators set, the newest record of each kept.
	 */
	ROUTES,

	/**
	 * The upstreams that register themselves, the newest record of each kept.
	 */
	UPSTREAMS

}
