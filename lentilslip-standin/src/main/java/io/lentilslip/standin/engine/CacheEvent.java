package io.lentilslip.standin.engine;

/**
 * A prefix block that came into an engine's memory or left it. Immutable.
 */
sealed interface CacheEvent {

	/**
	 * Returns the event's number in its engine's life, from 1.
	 * @return the number
	 */
	long sequence();

	/**
	 * Returns when it happened.
	 * @return the nanoseconds of the engine's clock
	 */
	long at();

	/**
	 * Returns the block's hash.
	 * @return the hash
	 */
	long block();

	/**
	 * A block can be found from now on.
	 *
	 * @param sequence the event's number
	 * @param at when it happened
	 * @param block the block's hash
	 * @param parent the hash of the block before it, or 0
	 * @param position the block's number in its chain from 0
	 */
	record Stored(long sequence, long at, long block, long parent, int position) implements CacheEvent {

	}

	/**
	 * A block is gone.
	 *
	 * @param sequence the event's number
	 * @param at when it happened
	 * @param block the block's hash
	 */
	record Evicted(long sequence, long at, long block) implements CacheEvent {

	}

}
