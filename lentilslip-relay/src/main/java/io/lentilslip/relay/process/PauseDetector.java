package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects pauses of this process: either the monotonic clock advanced by more than the
 * check interval, or the wall clock advanced while the monotonic clock did not. Checked
 * periodically and before each event. An adjustment of the wall clock also counts as a
 * pause, at the cost of one catch-up read of the log. Used by one thread.
 */
final class PauseDetector {

	/**
	 * The maximum delay of a check that does not count as a pause. Longer than pauses for
	 * garbage collection and CPU throttling, and short enough that other relays replicate
	 * less than one turn meanwhile.
	 */
	private static final long TOLERANCE_MS = 400;

	private final long intervalMillis;

	private long lastMonotonicMillis;

	private long lastWallClockMillis;

	private boolean checked;

	/**
	 * Creates a detector.
	 * @param interval the interval of the periodic checks
	 */
	PauseDetector(Duration interval) {
		this.intervalMillis = interval.toMillis();
	}

	/**
	 * Compares the clocks with those of the previous check.
	 * @param monotonicMillis milliseconds of the monotonic clock
	 * @param wallClockMillis milliseconds of the wall clock
	 * @return the duration of the pause, if there was one since the previous check
	 */
	Optional<Duration> check(long monotonicMillis, long wallClockMillis) {
		long gap = monotonicMillis - this.lastMonotonicMillis;
		long divergence = Math.abs(wallClockMillis - this.lastWallClockMillis - gap);
		boolean paused = this.checked && (gap > this.intervalMillis + TOLERANCE_MS || divergence > TOLERANCE_MS);
		this.lastMonotonicMillis = monotonicMillis;
		this.lastWallClockMillis = wallClockMillis;
		this.checked = true;
		return paused ? Optional.of(Duration.ofMillis(gap + divergence)) : Optional.empty();
	}

}
