package io.lentilslip.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Immutable cutoffs that admit a given fraction of arriving programs. A program is
 * admitted if its level, a hash of its id from 0 to 1, is below the cutoff of its class.
 * More urgent programs are admitted first, except that each priority keeps a minimum
 * share. Within a priority the admitted programs are divided by weighted max-min
 * fairness, so a team that sends many times its share is cut first. Safe for use by
 * several threads.
 */
final class FairCutoffs {

	/**
	 * Cutoffs that admit all programs.
	 */
	static final FairCutoffs NONE = new FairCutoffs(Map.of(), Map.of(), 1);

	/**
	 * A priority receives at least the mean fraction divided by this, so that the least
	 * urgent programs are not starved.
	 */
	private static final int MIN_SHARE_DIVISOR = 4;

	/**
	 * The smallest count of a class, so that it has a share.
	 */
	private static final double MIN_COUNT = 0.01;

	/**
	 * The standard deviations of a random count that are not held against a team.
	 */
	private static final double CONFIDENCE = 2;

	private final Map<ProgramClass, Double> byClass;

	private final Map<Integer, Double> byPriority;

	private final double fraction;

	private FairCutoffs(Map<ProgramClass, Double> byClass, Map<Integer, Double> byPriority, double fraction) {
		this.byClass = byClass;
		this.byPriority = byPriority;
		this.fraction = fraction;
	}

	/**
	 * Divides a fraction of the arrivals among their classes.
	 * @param arrivals the recent arrivals by class
	 * @param fraction the fraction to admit, from 0 to 1
	 * @return the cutoffs
	 */
	static FairCutoffs of(Map<ProgramClass, Double> arrivals, double fraction) {
		if (fraction >= 1) {
			return NONE;
		}
		Map<Integer, List<Arrivals>> priorities = new TreeMap<>();
		double total = 0;
		for (Map.Entry<ProgramClass, Double> entry : arrivals.entrySet()) {
			priorities.computeIfAbsent(entry.getKey().priority(), (priority) -> new ArrayList<>())
				.add(new Arrivals(entry.getKey(), entry.getValue()));
			total += entry.getValue();
		}
		Map<ProgramClass, Double> byClass = new HashMap<>();
		Map<Integer, Double> byPriority = new HashMap<>();
		double minimum = fraction / MIN_SHARE_DIVISOR;
		double remaining = (fraction - minimum) * total;
		for (Map.Entry<Integer, List<Arrivals>> priority : priorities.entrySet()) {
			double count = priority.getValue().stream().mapToDouble(Arrivals::count).sum();
			double extra = Math.min(count * (1 - minimum), remaining);
			remaining -= extra;
			double granted = count * minimum + extra;
			byPriority.put(priority.getKey(), granted / count);
			divide(priority.getValue(), granted, byClass);
		}
		return new FairCutoffs(byClass, byPriority, fraction);
	}

	// Classes with the fewest arrivals per weight are admitted as a whole first; the
	// others are cut to the same number per weight.
	private static void divide(List<Arrivals> classes, double granted, Map<ProgramClass, Double> cutoffs) {
		classes.sort(Comparator.comparingDouble(Arrivals::perWeight));
		double remaining = granted;
		double atUnitLevel = classes.stream().mapToDouble((next) -> next.count() / next.perWeight()).sum();
		for (Arrivals next : classes) {
			double cutoff = Math.clamp(remaining / (atUnitLevel * next.perWeight()), 0, 1);
			cutoffs.put(next.programClass(), cutoff);
			remaining -= cutoff * next.count();
			atUnitLevel -= next.count() / next.perWeight();
		}
	}

	/**
	 * Returns the cutoff of a class.
	 * @param programClass the class
	 * @return the cutoff, from 0 to 1
	 */
	double cutoff(ProgramClass programClass) {
		Double cutoff = this.byClass.get(programClass);
		return (cutoff != null) ? cutoff : this.byPriority.getOrDefault(programClass.priority(), this.fraction);
	}

	/**
	 * Immutable arrivals of a class.
	 *
	 * @param programClass the class
	 * @param count the number of arrivals
	 */
	private record Arrivals(ProgramClass programClass, double count) {

		// Of a team with few arrivals, one more than usual says little: what it surely
		// sends counts.
		double perWeight() {
			return Math.max(MIN_COUNT, this.count - CONFIDENCE * Math.sqrt(this.count)) / this.programClass.weight();
		}

	}

}
