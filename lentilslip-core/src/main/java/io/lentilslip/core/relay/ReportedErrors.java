package io.lentilslip.core.relay;

import java.util.LinkedHashSet;

/**
 * Errors in upstream records that were already reported. A writer may repeat an invalid
 * record at any rate, which would flood the log. Bounded: the oldest errors are evicted
 * first and may be reported again. Not thread-safe.
 */
final class ReportedErrors {

	private static final int MAX_ERRORS = 1024;

	private final LinkedHashSet<ReportedError> reported = new LinkedHashSet<>();

	/**
	 * Marks an error as reported.
	 * @param key the key of the record
	 * @param error the error
	 * @return whether the error was not yet marked
	 */
	boolean markReported(String key, UpstreamRecordError error) {
		boolean first = this.reported.add(new ReportedError(key, error));
		if (this.reported.size() > MAX_ERRORS) {
			this.reported.removeFirst();
		}
		return first;
	}

	/**
	 * Immutable error in a record.
	 *
	 * @param key the key of the record
	 * @param error the error
	 */
	private record ReportedError(String key, UpstreamRecordError error) {

	}

}
