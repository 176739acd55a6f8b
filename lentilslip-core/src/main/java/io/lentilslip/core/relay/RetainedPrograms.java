package io.lentilslip.core.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of the programs whose usage the log has, by the age of their oldest entry that
 * has not been renewed. Bounded in number; the programs that were active the longest time
 * ago are removed first. Used by one thread.
 */
final class RetainedPrograms {

	private final int maxPrograms;

	private final Map<String, Activity> programs = new LinkedHashMap<>();

	RetainedPrograms(int maxPrograms) {
		this.maxPrograms = maxPrograms;
	}

	/**
	 * Records an entry of a turn.
	 * @param program the program
	 * @param writtenAt when the entry was written, by the monotonic clock
	 * @param retainedUntil until when the usage is retained
	 */
	void recordTurn(String program, long writtenAt, long retainedUntil) {
		Activity entry = new Activity(writtenAt, retainedUntil);
		Activity before = this.programs.remove(program);
		this.programs.put(program, (before != null) ? before.extend(entry) : entry);
		if (this.programs.size() > this.maxPrograms) {
			this.programs.remove(this.programs.keySet().iterator().next());
		}
	}

	/**
	 * Records that the usage of a program was renewed.
	 * @param program the program
	 * @param oldestAt when the oldest entry was written that the renewal may lack
	 * @param retainedUntil until when the usage is retained
	 */
	void recordRenewal(String program, long oldestAt, long retainedUntil) {
		this.programs.merge(program, new Activity(oldestAt, retainedUntil), Activity::renew);
	}

	/**
	 * Returns the programs whose oldest entry has reached an age, and forgets those that
	 * are not retained any more.
	 * @param writtenBefore the latest time at which the oldest entry was written
	 * @param now the current time
	 * @return the programs
	 */
	Map<String, Activity> olderThan(long writtenBefore, long now) {
		this.programs.values().removeIf((activity) -> activity.retainedUntil() < now);
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
	 * @param retainedUntil until when the usage is retained
	 */
	record Activity(long oldestAt, long retainedUntil) {

		private Activity extend(Activity entry) {
			return new Activity(Math.min(this.oldestAt, entry.oldestAt),
					Math.max(this.retainedUntil, entry.retainedUntil));
		}

		private Activity renew(Activity renewal) {
			return new Activity(Math.max(this.oldestAt, renewal.oldestAt),
					Math.max(this.retainedUntil, renewal.retainedUntil));
		}

	}

}
