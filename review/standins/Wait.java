package review;

import java.util.function.BooleanSupplier;

/**
 * Waits on the real clock.
 */
final class Wait {

	private static final long START = System.nanoTime();

	private Wait() {
	}

	static long now() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static void millis(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static boolean until(long millis, BooleanSupplier condition) {
		long end = now() + millis;
		while (!condition.getAsBoolean()) {
			if (now() > end) {
				return false;
			}
			millis(20);
		}
		return true;
	}

}
