package io.lentilslip.core.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recent arrivals of programs by class, as exponentially decaying counts. The number of
 * classes is bounded; the least recently used are evicted. Not thread-safe.
 */
final class ArrivalMix {

	/**
	 * The time in which a count decays by a factor of e. Long enough for several arrivals
	 * of a small team at one of many relays, so that it is not taken for a flood.
	 */
	private static final double DECAY_MS = 3000;

	private static final int MAX_CLASSES = 4096;

	/**
	 * The count below which a class is absent.
	 */
	private static final double NEGLIGIBLE = 0.01;

	private final Map<ProgramClass, Count> counts = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ProgramClass, Count> eldest) {
			return size() > MAX_CLASSES;
		}
	};

	void add(ProgramClass programClass, long now) {
		this.counts.merge(programClass, new Count(1, now),
				(count, added) -> new Count(count.decayed(now) + added.value(), now));
	}

	/**
	 * Returns the decayed counts and removes those that are negligible.
	 * @param now the current time in milliseconds
	 * @return the counts by class
	 */
	Map<ProgramClass, Double> counts(long now) {
		Map<ProgramClass, Double> current = new HashMap<>();
		this.counts.values().removeIf((count) -> count.decayed(now) < NEGLIGIBLE);
		this.counts.forEach((programClass, count) -> current.put(programClass, count.decayed(now)));
		return current;
	}

	/**
	 * Immutable count at a time.
	 *
	 * @param value the count
	 * @param at the time in milliseconds
	 */
	private record Count(double value, long at) {

		double decayed(long now) {
			return this.value * Math.exp((this.at - now) / DECAY_MS);
		}

	}

}
