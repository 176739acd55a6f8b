package io.lentilslip.runtime.loop;

import java.time.Instant;

/**
 * A clock that never goes back. Safe for use by several threads.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the time.
	 * @return a time that is not before any that was returned earlier
	 */
	Instant now();

	/**
	 * Returns a clock that begins at the wall time and goes on by the system's monotonic
	 * timer. Wall time alone is stepped back by time synchronisation, and a lease or
	 * deadline computed from it would run anew.
	 * @return the clock
	 */
	static MonotonicClock ofSystem() {
		Instant origin = Instant.now();
		long start = System.nanoTime();
		return () -> origin.plusNanos(System.nanoTime() - start);
	}

}
