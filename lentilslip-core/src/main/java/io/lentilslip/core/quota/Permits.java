package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The permits of one team that a relay was granted and has not spent, and the programs of
 * the team that it knows to be admitted. Permits end: one that is spent late counts in
 * another window than the one that granted it. Used by one thread.
 */
public final class Permits {

	/**
	 * How long a permit that was granted ahead of need may be spent.
	 */
	static final Duration LIFE = Duration.ofMillis(1000);

	/**
	 * How many permits are asked for ahead of need where the team came here lately.
	 */
	private static final int AHEAD = 2;

	/**
	 * For how long a team counts as coming here.
	 */
	private static final long LATELY_MS = 1000;

	private static final int PROGRAMS = 512;

	private final Deque<Long> ends = new ArrayDeque<>();

	private final Map<Integer, Boolean> programs = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
			return size() > PROGRAMS;
		}
	};

	private long usedAt = Long.MIN_VALUE / 2;

	private String grantor = "";

	private int unspent;

	/**
	 * Takes permits.
	 * @param from the relay that granted them
	 * @param permits how many
	 * @param now milliseconds of a steady clock
	 */
	public void add(String from, int permits, long now) {
		if (!from.equals(this.grantor)) {
			this.unspent = 0;
			this.grantor = from;
		}
		for (int i = 0; i < permits; i++) {
			this.ends.addLast(now + LIFE.toMillis());
		}
	}

	/**
	 * Spends a permit if there is one.
	 * @param now milliseconds of a steady clock
	 * @return whether there was
	 */
	public boolean spend(long now) {
		end(now);
		return this.ends.pollFirst() != null;
	}

	private void end(long now) {
		while (!this.ends.isEmpty() && this.ends.peekFirst() <= now) {
			this.ends.pollFirst();
			this.unspent++;
		}
	}

	/**
	 * Puts back a permit with which nothing was run.
	 * @param now milliseconds of a steady clock
	 */
	public void putBack(long now) {
		this.ends.addLast(now + LIFE.toMillis());
	}

	/**
	 * Returns how many permits of a relay ended unspent since this was last asked, and
	 * begins to count anew.
	 * @param from the relay
	 * @param now milliseconds of a steady clock
	 * @return the number; none for a relay that did not grant them
	 */
	public int returned(String from, long now) {
		end(now);
		int ended = from.equals(this.grantor) ? this.unspent : 0;
		this.unspent = 0;
		return ended;
	}

	/**
	 * Returns how many permits to ask for ahead of need, and takes that the team came.
	 * @param now milliseconds of a steady clock
	 * @return the number
	 */
	public int ahead(long now) {
		boolean lately = now - this.usedAt < LATELY_MS;
		this.usedAt = now;
		return lately ? AHEAD : 0;
	}

	/**
	 * Returns whether a program is known to be admitted.
	 * @param program its digest
	 * @return whether it is
	 */
	public boolean underWay(int program) {
		return this.programs.get(program) != null;
	}

	/**
	 * Takes that a program is admitted.
	 * @param program its digest
	 */
	public void admit(int program) {
		this.programs.put(program, true);
	}

	/**
	 * Forgets the permits, which may be older than their end.
	 */
	public void clear() {
		this.ends.clear();
		this.unspent = 0;
	}

}
