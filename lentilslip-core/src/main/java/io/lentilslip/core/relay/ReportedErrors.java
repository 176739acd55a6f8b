package io.lentilslip.core.relay;

import java.util.LinkedHashSet;

/**
 * Which records were told to be unusable. Another writer may repeat one as often as it
 * likes; told each time, it would drown the log. Bounded: of more records than it holds,
 * the oldest may be told again. Used by one thread.
 */
final class ReportedErrors {

	private static final int BOUND = 1024;

	private final LinkedHashSet<Told> told = new LinkedHashSet<>();

	/**
	 * Notes a problem.
	 * @param key the key of the record
	 * @param problem what is wrong with it
	 * @return whether it was not told before
	 */
	boolean markReported(String key, UpstreamRecordError problem) {
		boolean first = this.told.add(new Told(key, problem));
		if (this.told.size() > BOUND) {
			this.told.removeFirst();
		}
		return first;
	}

	/**
	 * A problem of a record. Immutable.
	 *
	 * @param key the key of the record
	 * @param problem what is wrong with it
	 */
	private record Told(String key, UpstreamRecordError problem) {

	}

}
