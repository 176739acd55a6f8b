package io.lentilslip.core.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of the programs whose usage the log has, by the age of their oldest entry that
 * has not been renewed. Bounded in number; the programs that were active the longest time
 * ago are removed first. Used by one thread.
 */
final class RetainedPrograms {

	/**
	 * The time of the last turn if only renewals of it were read.
	 */
	private static final long UNKNOWN = Long.MIN_VALUE / 2;

	private final int maxPrograms;

	private final Map<String, Activity> programs = new LinkedHashMap<>();

	RetainedPrograms(int maxPrograms) {
		this.maxPrograms = maxPrograms;
	}

	/**
	 * Records an entry of a turn.
	 * @param program the program
	 * @param writtenAt when the entry was written, by the monotonic clock
	 */
	void recordTurn(String program, long writtenAt) {
		Activity entry = new Activity(writtenAt, writtenAt, writtenAt);
		Activity before = this.programs.remove(program);
		this.programs.put(program, (before != null) ? before.extend(entry) : entry);
		removeExcess();
	}

	/**
	 * Records that the usage of a program was renewed.
	 * @param program the program
	 * @param oldestAt when the oldest entry was written that the renewal may lack
	 * @param retainedUntil until when the usage is retained
	 */
	void recordRenewal(String program, long oldestAt, long retainedUntil) {
		this.programs.merge(program, new Activity(oldestAt, UNKNOWN, retainedUntil), Activity::renew);
		removeExcess();
	}

	private void removeExcess() {
		if (this.programs.size() > this.maxPrograms) {
			this.programs.remove(this.programs.keySet().iterator().next());
		}
	}

	/**
	 * Returns the programs whose oldest entry has reached an age, and forgets those that
	 * are not retained any more.
	 * @param writtenBefore the latest time at which the oldest entry was written
	 * @param now the current time
	 * @param retention for how long after its last turn the usage of a program is
	 * retained
	 * @return the programs
	 */
	Map<String, Activity> olderThan(long writtenBefore, long now, long retention) {
		this.programs.values().removeIf((activity) -> activity.retainedUntil(retention) < now);
		Map<String, Activity> old = new LinkedHashMap<>();
		this.programs.forEach((program, activity) -> {
			if (activity.oldestAt() <= writtenBefore) {
				old.put(program, activity);
			}
		});
		return old;
	}

	int maxSize() {
		return this.maxPrograms;
	}

	int size() {
		return this.programs.size();
	}

	/**
	 * Immutable times of the entries of a program.
	 *
	 * @param oldestAt when the oldest entry was written that has not been renewed
	 * @param lastAt when the last entry of a turn was written
	 * @param renewedUntil until when the usage is retained by its renewals
	 */
	record Activity(long oldestAt, long lastAt, long renewedUntil) {

		/**
		 * Returns until when the usage is retained.
		 * @param retention for how long after the last turn it is
		 * @return the time
		 */
		long retainedUntil(long retention) {
			return Math.max(this.lastAt + retention, this.renewedUntil);
		}

		private Activity extend(Activity entry) {
			return new Activity(Math.min(this.oldestAt, entry.oldestAt), Math.max(this.lastAt, entry.lastAt),
					this.renewedUntil);
		}

		private Activity renew(Activity renewal) {
			return new Activity(Math.max(this.oldestAt, renewal.oldestAt), this.lastAt,
					Math.max(this.renewedUntil, renewal.renewedUntil));
		}

	}

}
