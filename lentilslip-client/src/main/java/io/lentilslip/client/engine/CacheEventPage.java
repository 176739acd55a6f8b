package io.lentilslip.client.engine;

import java.util.List;

import io.lentilslip.core.identity.Incarnation;

/**
 * Some cache events of an engine. A hole in the numbers means that events were lost, and
 * a new incarnation that all blocks are gone. Immutable and safe for use by several
 * threads.
 *
 * @param incarnation the engine's start, within which the numbers hold
 * @param events the events in the order of their numbers
 * @param next the number to ask for next
 * @param oldest the lowest number that the engine still has
 * @param blockTokens the tokens of a block
 */
public record CacheEventPage(Incarnation incarnation, List<CacheEvent> events, long next, long oldest,
		int blockTokens) {

	/**
	 * Creates a page.
	 * @param incarnation the engine's start
	 * @param events the events, copied
	 * @param next the number to ask for next
	 * @param oldest the lowest number that the engine still has
	 * @param blockTokens the tokens of a block
	 */
	public CacheEventPage {
		events = List.copyOf(events);
	}

	/**
	 * A prefix block that came into an engine's memory or left it.
	 */
	public sealed interface CacheEvent {

		/**
		 * Returns the event's number, from 1 in each incarnation.
		 * @return the number
		 */
		long sequence();

		/**
		 * Returns the hash of the block and all blocks before it.
		 * @return the hash
		 */
		long block();

		/**
		 * A block can be found from now on.
		 *
		 * @param sequence the event's number
		 * @param block the block's hash
		 * @param parent the hash of the block before it, or 0 for the first
		 * @param position the block's number in its sequence from 0
		 */
		record Stored(long sequence, long block, long parent, int position) implements CacheEvent {

		}

		/**
		 * A block is gone.
		 *
		 * @param sequence the event's number
		 * @param block the block's hash
		 */
		record Evicted(long sequence, long block) implements CacheEvent {

		}

	}

}
