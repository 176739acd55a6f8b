package io.lentilslip.runtime.loop;

import java.time.Duration;

/**
 * A way to let time pass between two attempts. Implementations are safe for use by
 * several threads.
 */
@FunctionalInterface
public interface Pause {

	/**
	 * Waits.
	 * @param duration how long
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	void await(Duration duration) throws InterruptedException;

	/**
	 * Returns a pause that puts the thread to sleep.
	 * @return the pause
	 */
	static Pause ofThread() {
		return Thread::sleep;
	}

}
