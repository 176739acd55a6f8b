package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.Optional;

/**
 * Finds out that this process did not run for a while: by a steady clock that jumped
 * between two looks, or by a clock of the day that went on while the steady one stood.
 * Looked at regularly, and before each decision. A change of the clock of the day looks
 * the same, and costs a read of the log. Used by one thread.
 */
final class PauseDetector {

	/**
	 * By how much a look may be late. Pauses of the collector and a quota that is used up
	 * stay below it; what other relays tell in this time is less than a turn.
	 */
	private static final long TOLERANCE_MS = 400;

	private final long interval;

	private long lastMonotonicMillis;

	private long lastWallClockMillis;

	private boolean checked;

	/**
	 * Creates a watch.
	 * @param interval how often it is looked at
	 */
	PauseDetector(Duration interval) {
		this.interval = interval.toMillis();
	}

	/**
	 * Looks.
	 * @param monotonicMillis milliseconds of the steady clock
	 * @param wallClockMillis milliseconds of the clock of the day
	 * @return how long the process slept, if it did since the look before
	 */
	Optional<Duration> check(long monotonicMillis, long wallClockMillis) {
		long gap = monotonicMillis - this.lastMonotonicMillis;
		long divergence = Math.abs(wallClockMillis - this.lastWallClockMillis - gap);
		boolean paused = this.checked && (gap > this.interval + TOLERANCE_MS || divergence > TOLERANCE_MS);
		this.lastMonotonicMillis = monotonicMillis;
		this.lastWallClockMillis = wallClockMillis;
		this.checked = true;
		return paused ? Optional.of(Duration.ofMillis(gap + divergence)) : Optional.empty();
	}

}
