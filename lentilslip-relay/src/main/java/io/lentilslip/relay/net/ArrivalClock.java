package io.lentilslip.relay.net;

import java.util.function.LongSupplier;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Estimates when data arrived that an event loop reads: after the loop last polled its
 * sockets, which may be long ago if it has been busy since. Data in the accept queue or
 * in a socket would otherwise seem to have arrived when it is read. An instance is the
 * select strategy of one event loop and is used by its thread.
 */
public final class ArrivalClock implements SelectStrategy {

	/**
	 * The time after a poll from which the loop is assumed to have been idle in it, so
	 * that what it reads has just arrived. Longer than a poll that finds data.
	 */
	private static final long MIN_IDLE_MS = 5;

	private static final long UNSET = Long.MIN_VALUE;

	private final LongSupplier clock;

	private long polledAt;

	private long busySince = UNSET;

	private long earliestArrival;

	/**
	 * Creates a clock.
	 * @param clock returns the milliseconds of a monotonic clock
	 */
	public ArrivalClock(LongSupplier clock) {
		this.clock = clock;
	}

	@Override
	public int calculateStrategy(IntSupplier selectSupplier, boolean hasTasks) throws Exception {
		this.polledAt = this.clock.getAsLong();
		this.earliestArrival = (this.busySince != UNSET) ? this.busySince : this.polledAt;
		this.busySince = UNSET;
		return hasTasks ? selectSupplier.get() : SelectStrategy.SELECT;
	}

	/**
	 * Records that the event loop handles an event.
	 */
	public void recordEvent() {
		if (this.busySince != UNSET) {
			return;
		}
		this.busySince = this.clock.getAsLong();
		if (this.busySince - this.polledAt >= MIN_IDLE_MS) {
			this.earliestArrival = this.busySince;
		}
	}

	/**
	 * Returns the earliest time at which data may have arrived that is read now from an
	 * open connection.
	 * @return milliseconds of the monotonic clock
	 */
	public long earliestArrival() {
		recordEvent();
		return this.earliestArrival;
	}

}
