package io.lentilslip.verification.process;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for what another process brings about. The bound is far beyond what a busy
 * machine needs, so it decides no verdict but that of a test that would hang.
 */
public final class Waiting {

	private static final Duration BOUND = Duration.ofSeconds(30);

	private static final Duration PAUSE = Duration.ofMillis(20);

	private Waiting() {
	}

	/**
	 * Waits until a condition holds.
	 * @param what what is waited for
	 * @param condition the condition; an exception counts as not yet
	 */
	public static void until(String what, Callable<Boolean> condition) {
		long end = System.nanoTime() + BOUND.toNanos();
		Exception last = null;
		while (System.nanoTime() - end < 0) {
			try {
				if (condition.call()) {
					return;
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new AssertionError("interrupted while waiting for " + what, ex);
			}
			catch (Exception ex) {
				last = ex;
			}
			LockSupport.parkNanos(PAUSE.toNanos());
		}
		throw new AssertionError("waited in vain for " + what, last);
	}

}
