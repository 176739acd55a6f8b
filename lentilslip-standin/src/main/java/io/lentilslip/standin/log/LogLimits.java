package io.lentilslip.standin.log;

import java.time.Duration;

/**
 * The bounds of a log stand-in. Immutable and safe for use by several threads.
 *
 * @param appendsPerSecond the appends that a second allows, over all streams
 * @param keptRecords the most records kept of a stream
 * @param keptTime the longest time that a record is kept
 * @param keptBytes the most bytes kept of a stream; at least the last record stays
 * @param streams the most streams
 * @param waitingReads the most reads that wait for a record
 */
public record LogLimits(int appendsPerSecond, int keptRecords, Duration keptTime, long keptBytes, int streams,
		int waitingReads) {

	private static final LogLimits DEFAULTS = new LogLimits(400, 100_000, Duration.ofHours(1), 64L * 1024 * 1024, 8,
			4096);

	/**
	 * Creates limits.
	 * @param appendsPerSecond the appends that a second allows, over all streams
	 * @param keptRecords the most records kept of a stream
	 * @param keptTime the longest time that a record is kept
	 * @param keptBytes the most bytes kept of a stream
	 * @param streams the most streams
	 * @param waitingReads the most reads that wait for a record
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public LogLimits {
		if (appendsPerSecond < 1 || keptRecords < 1 || keptBytes < 1 || streams < 1 || waitingReads < 1
				|| !keptTime.isPositive()) {
			throw new IllegalArgumentException("limits of a log must be positive");
		}
	}

	/**
	 * Returns limits in the size of the platform's log.
	 * @return 400 appends a second, and for each of 8 streams 100,000 records, an hour
	 * and 64 MiB
	 */
	public static LogLimits defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns these limits with another append rate.
	 * @param appendsPerSecond the appends that a second allows, over all streams
	 * @return the changed limits
	 */
	public LogLimits withAppendsPerSecond(int appendsPerSecond) {
		return new LogLimits(appendsPerSecond, this.keptRecords, this.keptTime, this.keptBytes, this.streams,
				this.waitingReads);
	}

	/**
	 * Returns these limits with another retention.
	 * @param keptRecords the most records kept of a stream
	 * @param keptTime the longest time that a record is kept
	 * @return the changed limits
	 */
	public LogLimits withRetention(int keptRecords, Duration keptTime) {
		return new LogLimits(this.appendsPerSecond, keptRecords, keptTime, this.keptBytes, this.streams,
				this.waitingReads);
	}

}
