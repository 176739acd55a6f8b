package io.lentilslip.core.relay;

import java.util.Comparator;

/**
 * Immutable identity of a run: one handling of a caller's request by one relay. A caller
 * may repeat the id of a request, at any relay and while an earlier run is under way, so
 * that the id alone does not tell what was reserved, spent or written for which run. Runs
 * of one id are ordered: a relay gives a run a higher number than all runs of the id that
 * it knows. Runs of relays that don't know of each other differ in the random part of
 * their numbers. Safe for use by several threads.
 *
 * @param request the id of the caller's request, or of the program if an entry concerns
 * all of its turns
 * @param number the number; 0 if the entry or message names none, as those of earlier
 * versions
 */
public record RunId(String request, long number) implements Comparable<RunId> {

	/**
	 * The number of random bits. With them the number of a first run takes four bytes.
	 */
	private static final int RANDOM_BITS = 28;

	private static final int RANDOM_BOUND = 1 << RANDOM_BITS;

	private static final Comparator<RunId> ORDER = Comparator.comparing(RunId::request)
		.thenComparingLong(RunId::number);

	/**
	 * Returns the id of a run without a number.
	 * @param request the id of the caller's request
	 * @return the id of the run
	 */
	public static RunId unnumbered(String request) {
		return new RunId(request, 0);
	}

	/**
	 * Returns the id of a run of a request that is not known to have run before.
	 * @param request the id of the caller's request
	 * @param random a random number
	 * @return the id of the run
	 */
	static RunId first(String request, int random) {
		return new RunId(request, randomPart(random));
	}

	/**
	 * Returns the id of a run that follows this one.
	 * @param random a random number
	 * @return the id of the run
	 */
	RunId next(int random) {
		return new RunId(this.request, (((this.number >>> RANDOM_BITS) + 1) << RANDOM_BITS) | randomPart(random));
	}

	private static long randomPart(int random) {
		return Math.max(1, random & (RANDOM_BOUND - 1));
	}

	/**
	 * Returns the last possible run of a request.
	 * @param request the id of the caller's request
	 * @return the id of the run
	 */
	static RunId last(String request) {
		return new RunId(request, Long.MAX_VALUE);
	}

	boolean numbered() {
		return this.number != 0;
	}

	/**
	 * Returns whether no earlier run of the request was known when this one began.
	 * @return {@code true} if none was
	 */
	boolean isFirst() {
		return this.number < RANDOM_BOUND;
	}

	@Override
	public int compareTo(RunId other) {
		return ORDER.compare(this, other);
	}

}
