package io.lentilslip.relay.store;

import java.time.Duration;

/**
 * Runs steps later, on the event loop. Used by that loop's thread.
 */
public interface Timers {

	/**
	 * Runs a step once.
	 * @param delay when
	 * @param step the step
	 */
	void schedule(Duration delay, Runnable step);

	/**
	 * Returns the time of a steady clock.
	 * @return milliseconds
	 */
	long now();

	/**
	 * Returns the time of a clock of the day, which may be off and may be set.
	 * @return milliseconds since the epoch
	 */
	default long wallClockMillis() {
		return System.currentTimeMillis();
	}

}
