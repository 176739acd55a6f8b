package io.lentilslip.settings.ini;

import java.time.Duration;

/**
 * Writes values as {@link ValueKind} reads them. Stateless and safe for use by several
 * threads.
 */
public final class ValueText {

	private static final long SECOND = 1000;

	private static final long MINUTE = 60 * SECOND;

	private static final long HOUR = 60 * MINUTE;

	private static final long DAY = 24 * HOUR;

	private static final long KIB = 1L << 10;

	private static final long MIB = 1L << 20;

	private static final long GIB = 1L << 30;

	private ValueText() {
	}

	/**
	 * Returns a time in the longest unit that divides it.
	 * @param duration the time, a whole number of milliseconds
	 * @return the text
	 */
	public static String of(Duration duration) {
		long millis = duration.toMillis();
		if (millis % DAY == 0) {
			return millis / DAY + "d";
		}
		if (millis % HOUR == 0) {
			return millis / HOUR + "h";
		}
		if (millis % MINUTE == 0) {
			return millis / MINUTE + "m";
		}
		return (millis % SECOND == 0) ? millis / SECOND + "s" : millis + "ms";
	}

	/**
	 * Returns a size in the largest unit that divides it.
	 * @param bytes the number of bytes
	 * @return the text
	 */
	public static String ofBytes(long bytes) {
		if (bytes % GIB == 0) {
			return bytes / GIB + "GiB";
		}
		if (bytes % MIB == 0) {
			return bytes / MIB + "MiB";
		}
		return (bytes % KIB == 0) ? bytes / KIB + "KiB" : bytes + "B";
	}

}
