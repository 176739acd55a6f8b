package io.lentilslip.relay.store;

import java.time.Duration;

/**
 * Schedules tasks on the event loop. Used by that loop's thread.
 */
public interface Timers {

	/**
	 * Schedules a task to run once.
	 * @param delay the delay
	 * @param task the task
	 */
	void schedule(Duration delay, Runnable task);

	/**
	 * Returns the time of a monotonic clock.
	 * @return milliseconds
	 */
	long now();

	/**
	 * Returns the earliest time at which data may have arrived that is read now from an
	 * open connection.
	 * @return milliseconds of the monotonic clock
	 */
	default long earliestArrival() {
		return now();
	}

	/**
	 * Returns the time of the wall clock, which may be inaccurate and may be adjusted.
	 * @return milliseconds since the epoch
	 */
	default long wallClockMillis() {
		return System.currentTimeMillis();
	}

}
