package io.lentilslip.application.demo;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * The time until which something has to come true. Immutable and safe for use by several
 * threads.
 *
 * @param nanoTime the end, by the clock of {@link System#nanoTime()}
 */
record Deadline(long nanoTime) {

	private static final Duration STEP = Duration.ofMillis(20);

	/**
	 * Returns a deadline.
	 * @param time the time from now
	 * @return the deadline
	 */
	static Deadline in(Duration time) {
		return new Deadline(System.nanoTime() + time.toNanos());
	}

	/**
	 * Asks again and again until the answer is yes or the time is over.
	 * @param condition the question
	 * @return whether the answer was yes
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean await(BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - this.nanoTime >= 0) {
				return false;
			}
			Thread.sleep(STEP);
		}
		return true;
	}

}
