package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The permits of one team at the relay that counts for it: a token bucket, and the
 * programs that were admitted. A program that is under way is preferred to one that
 * begins: a team beyond its quota is served by some programs whole, not by parts of all.
 * Permits that are granted ahead of need are bounded, since a window may see them spent
 * beside all that it grants itself. Used by one thread.
 */
final class TeamBucket {

	/**
	 * How long a program counts as under way after its last request.
	 */
	private static final long ACTIVE_MS = 1000;

	/**
	 * How long a program is taken to have run when it asks for the first time.
	 */
	private static final long FIRST_MS = 500;

	/**
	 * The time in which what is left in the bucket may be spent by programs under way.
	 */
	private static final double SPENDING_SECONDS = 3;

	/**
	 * The most programs that are remembered.
	 */
	private static final int PROGRAMS = 1024;

	/**
	 * The shortest time after which a caller is asked to come back.
	 */
	private static final long SHORTEST_WAIT_MS = 100;

	/**
	 * The longest time after which a caller is asked to come back.
	 */
	private static final long LONGEST_WAIT_MS = 5000;

	private static final double MILLISECONDS_OF_SECOND = 1000;

	private final QuotaTolerance tolerance;

	private final Map<Integer, Progress> programs = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, Progress> eldest) {
			return size() > PROGRAMS;
		}
	};

	private final Deque<Ahead> ahead = new ArrayDeque<>();

	private Quota quota;

	private double level;

	private double outstanding;

	private double promised;

	private long updatedAt;

	TeamBucket(QuotaTolerance tolerance, Quota quota, double level, long now) {
		this.tolerance = tolerance;
		this.quota = quota;
		this.level = Math.min(level, tolerance.capacity(quota));
		this.updatedAt = now;
	}

	/**
	 * Grants permits as far as there are any.
	 * @param current the quota in force
	 * @param ask what is asked for
	 * @param now milliseconds of a steady clock
	 * @return what is granted
	 */
	PermitReply grant(Quota current, PermitRequest ask, long now) {
		refill(current, now);
		giveBack(ask.expired());
		int granted = 0;
		for (int program : ask.activePrograms()) {
			progress(program, now).lastAt = now;
		}
		while (granted < ask.required() && take()) {
			granted++;
		}
		count(ask.activePrograms(), granted);
		boolean[] admitted = new boolean[ask.newPrograms().size()];
		for (int i = 0; i < admitted.length; i++) {
			admitted[i] = admit(ask.newPrograms().get(i), now);
		}
		int more = (granted == ask.required()) ? grantAhead(ask.prefetch(), now) : 0;
		return new PermitReply(ask.team(), ask.requestId(), granted + more, PermitReply.admissions(admitted),
				retryAfter(now));
	}

	private void giveBack(int permits) {
		this.level = Math.min(this.tolerance.capacity(this.quota), this.level + permits);
	}

	/**
	 * Returns when the team last asked.
	 * @return milliseconds of a steady clock
	 */
	long usedAt() {
		return this.updatedAt;
	}

	private void refill(Quota current, long now) {
		this.quota = current;
		double added = current.ratePerSecond() * Math.max(0, now - this.updatedAt) / MILLISECONDS_OF_SECOND;
		this.level = Math.min(this.tolerance.capacity(current), this.level + added);
		this.promised = Math.max(0, this.promised - added);
		this.updatedAt = now;
		while (!this.ahead.isEmpty() && this.ahead.peekFirst().until() <= now) {
			this.outstanding -= this.ahead.pollFirst().permits();
		}
	}

	private boolean take() {
		if (this.level < 1) {
			return false;
		}
		this.level--;
		return true;
	}

	private boolean admit(int program, long now) {
		if (!this.programs.containsKey(program) && !leavesRoom(now)) {
			return false;
		}
		if (!take()) {
			return false;
		}
		progress(program, now).granted++;
		return true;
	}

	// The programs under way go on at about the rate that they had so far.
	private boolean leavesRoom(long now) {
		int active = 0;
		double granted = 0;
		double elapsed = 0;
		for (Progress next : this.programs.values()) {
			if (now - next.lastAt <= ACTIVE_MS) {
				active++;
				granted += next.granted;
				elapsed += now - next.firstAt + FIRST_MS;
			}
		}
		if (active == 0) {
			return true;
		}
		double each = granted * MILLISECONDS_OF_SECOND / elapsed;
		return active * each < this.quota.ratePerSecond() + this.level / SPENDING_SECONDS;
	}

	private Progress progress(int program, long now) {
		Progress progress = this.programs.computeIfAbsent(program, (key) -> new Progress(now));
		progress.lastAt = now;
		return progress;
	}

	private void count(Iterable<Integer> underWay, int granted) {
		Iterator<Integer> next = underWay.iterator();
		for (int i = 0; i < granted && next.hasNext(); i++) {
			Progress progress = this.programs.get(next.next());
			if (progress != null) {
				progress.granted++;
			}
		}
	}

	private int grantAhead(int wanted, long now) {
		double spare = Math.min(this.level - this.tolerance.capacity(this.quota) / 2,
				this.tolerance.maxPrefetched(this.quota) - this.outstanding);
		int granted = (int) Math.max(0, Math.min(wanted, spare));
		if (granted > 0) {
			this.level -= granted;
			this.outstanding += granted;
			this.ahead.addLast(new Ahead(granted, now + Permits.LIFE.toMillis()));
		}
		return granted;
	}

	// Each caller that is refused is sent behind those that were refused before it.
	private Duration retryAfter(long now) {
		double missing = Math.max(0, 1 - this.level) + this.promised;
		long wait = Math.round(missing / this.quota.ratePerSecond() * MILLISECONDS_OF_SECOND);
		return Duration.ofMillis(Math.clamp(wait, SHORTEST_WAIT_MS, LONGEST_WAIT_MS));
	}

	/**
	 * Counts a caller that is refused and sent behind those before it.
	 */
	void refused() {
		this.promised = Math.min(this.promised + 1,
				this.quota.ratePerSecond() * LONGEST_WAIT_MS / MILLISECONDS_OF_SECOND);
	}

	/**
	 * What a program was granted. Used by one thread.
	 */
	private static final class Progress {

		private final long firstAt;

		private long lastAt;

		private int granted;

		Progress(long now) {
			this.firstAt = now;
			this.lastAt = now;
		}

	}

	/**
	 * Permits that were granted ahead of need. Immutable.
	 *
	 * @param permits how many
	 * @param until when they end, in milliseconds of a steady clock
	 */
	private record Ahead(int permits, long until) {

	}

}
