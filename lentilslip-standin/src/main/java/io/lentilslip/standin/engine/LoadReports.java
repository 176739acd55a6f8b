package io.lentilslip.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Load reports that are shown some time after they were measured. Samples that are closer
 * than a part of the lag are merged, which bounds their number. Not safe for use by
 * several threads.
 */
final class LoadReports {

	private static final int SAMPLES_PER_LAG = 256;

	private final long lagNanos;

	private final Deque<Sample> samples = new ArrayDeque<>();

	/**
	 * Creates reports that begin with an idle engine.
	 * @param lagNanos how long after its measurement a report is shown
	 * @param idle the report of the idle engine
	 */
	LoadReports(long lagNanos, LoadReport idle) {
		this.lagNanos = lagNanos;
		this.samples.add(new Sample(Long.MIN_VALUE, idle));
	}

	/**
	 * Takes a measurement.
	 * @param now the nanoseconds of the engine's clock
	 * @param report the report
	 */
	void record(long now, LoadReport report) {
		Sample last = this.samples.getLast();
		if (this.samples.size() > 1 && now - last.at() < this.lagNanos / SAMPLES_PER_LAG) {
			this.samples.removeLast();
			this.samples.add(new Sample(last.at(), report));
		}
		else {
			this.samples.add(new Sample(now, report));
		}
		forget(now);
	}

	/**
	 * Returns the report that is shown now.
	 * @param now the nanoseconds of the engine's clock
	 * @return the newest report that is old enough
	 */
	LoadReport shown(long now) {
		forget(now);
		return this.samples.getFirst().report();
	}

	private void forget(long now) {
		while (this.samples.size() > 1 && isOldEnough(second(), now)) {
			this.samples.remove();
		}
	}

	private Sample second() {
		return this.samples.stream().skip(1).findFirst().orElseThrow();
	}

	private boolean isOldEnough(Sample sample, long now) {
		return now - sample.at() >= this.lagNanos;
	}

	private record Sample(long at, LoadReport report) {

	}

}
