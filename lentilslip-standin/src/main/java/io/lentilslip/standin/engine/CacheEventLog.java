package io.lentilslip.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The newest cache events of an engine, shown late and with gaps. A lost event leaves a
 * hole in the numbers, by which a reader notices it. Keeps at most {@value #MAXIMUM}
 * events. Not safe for use by several threads.
 */
final class CacheEventLog implements BlockMemory.Listener {

	private static final int MAXIMUM = 65_536;

	private final LongSupplier clock;

	private final long lagNanos;

	private final int loseEvery;

	private final Deque<CacheEvent> events = new ArrayDeque<>();

	private long sequence;

	/**
	 * Creates a log without events.
	 * @param clock the engine's clock in nanoseconds
	 * @param lagNanos how long after its time an event is shown
	 * @param loseEvery the events of which one is lost; 0 loses none
	 */
	CacheEventLog(LongSupplier clock, long lagNanos, int loseEvery) {
		this.clock = clock;
		this.lagNanos = lagNanos;
		this.loseEvery = loseEvery;
	}

	@Override
	public void stored(long hash, long parent, int position) {
		this.sequence++;
		add(new CacheEvent.Stored(this.sequence, this.clock.getAsLong(), hash, parent, position));
	}

	@Override
	public void evicted(long hash) {
		this.sequence++;
		add(new CacheEvent.Evicted(this.sequence, this.clock.getAsLong(), hash));
	}

	private void add(CacheEvent event) {
		if (this.loseEvery > 0 && event.sequence() % this.loseEvery == 0) {
			return;
		}
		if (this.events.size() == MAXIMUM) {
			this.events.remove();
		}
		this.events.add(event);
	}

	/**
	 * Returns events that may be shown now.
	 * @param from the lowest number of interest
	 * @param limit the most events
	 * @return the events, and where to go on
	 */
	Page page(long from, int limit) {
		long now = this.clock.getAsLong();
		List<CacheEvent> found = new ArrayList<>();
		for (CacheEvent event : this.events) {
			if (found.size() == limit || now - event.at() < this.lagNanos) {
				break;
			}
			if (event.sequence() >= from) {
				found.add(event);
			}
		}
		long next = found.isEmpty() ? from : found.getLast().sequence() + 1;
		long oldest = this.events.isEmpty() ? this.sequence + 1 : this.events.getFirst().sequence();
		return new Page(found, next, oldest);
	}

	/**
	 * A part of the log.
	 *
	 * @param events the events in the order of their numbers
	 * @param next the number to ask for next
	 * @param oldest the lowest number that is kept
	 */
	record Page(List<CacheEvent> events, long next, long oldest) {

	}

}
