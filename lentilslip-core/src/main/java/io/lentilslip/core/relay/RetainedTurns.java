package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the turns that the log has, by the age of their newest records. A turn is
 * retained with its whole chain, so an old turn is needed as long as any turn that
 * continues it. How long a turn is needed is passed on to the turns before it when a turn
 * is recorded, and not again for small differences, so that a long chain is walked
 * rarely. Bounded in number; the turns with the oldest records are removed first. Used by
 * one thread.
 */
final class RetainedTurns {

	/**
	 * The maximum number of turns, as many as have known locations.
	 */
	static final int MAX_TURNS = 50_000;

	/**
	 * The difference between the clocks of two relays up to which a turn is not forgotten
	 * too early.
	 */
	private static final long CLOCK_TOLERANCE_MS = 5_000;

	/**
	 * The difference in how long a turn is needed up to which the turns before it are not
	 * updated.
	 */
	private static final long GRANULARITY_MS = 5_000;

	/**
	 * By how much later a record may have been written than one that was read after it:
	 * more than the delay of an append.
	 */
	private static final long MAX_DISORDER_MS = 2_000;

	/**
	 * The turns in the order in which their newest records were read.
	 */
	private final Map<String, RetainedTurn> turns = new LinkedHashMap<>();

	/**
	 * Until when turns are needed that have not been read yet: the record of a turn may
	 * have been renewed after that of a turn that continues it.
	 */
	private final Map<String, Long> unread = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_TURNS;
		}
	};

	/**
	 * Records that the log has a turn.
	 * @param settled its settlement
	 * @param location the location of its text
	 * @param writtenAt when both were written, by the monotonic clock
	 * @param retention for how long after that the turn is retained without being
	 * continued
	 */
	void record(LedgerEntry.Settled settled, TextLocation location, long writtenAt, long retention) {
		String request = settled.request();
		RetainedTurn before = this.turns.remove(request);
		long retainedUntil = writtenAt + retention;
		Long needed = this.unread.remove(request);
		RetainedTurn turn = new RetainedTurn(settled, location, writtenAt, retainedUntil,
				(needed != null) ? Math.max(needed, retainedUntil) : retainedUntil);
		RetainedTurn merged = (before != null) ? turn.merge(before) : turn;
		this.turns.put(request, merged);
		if (this.turns.size() > MAX_TURNS) {
			this.turns.remove(this.turns.keySet().iterator().next());
		}
		retainChain(location.previous(), merged.neededUntil());
	}

	private void retainChain(Optional<String> last, long until) {
		Optional<String> next = last;
		while (next.isPresent()) {
			String request = next.get();
			RetainedTurn turn = this.turns.get(request);
			if (turn == null) {
				this.unread.merge(request, until, Math::max);
				return;
			}
			if (turn.neededUntil() >= until - GRANULARITY_MS) {
				return;
			}
			this.turns.put(request, turn.neededUntil(until));
			next = turn.location().previous();
		}
	}

	/**
	 * Returns the turns whose records have reached an age and that are needed still, and
	 * forgets those that are not needed and whose records have expired.
	 * @param now the current time
	 * @param minAge the age in milliseconds
	 * @param logRetention the retention of the log in milliseconds
	 * @return the turns, those whose records were read first in front
	 */
	List<RetainedTurn> olderThan(long now, long minAge, long logRetention) {
		List<RetainedTurn> old = new ArrayList<>();
		Iterator<RetainedTurn> oldestFirst = this.turns.values().iterator();
		while (oldestFirst.hasNext()) {
			RetainedTurn turn = oldestFirst.next();
			long age = now - turn.writtenAt();
			if (age < minAge - MAX_DISORDER_MS) {
				return old;
			}
			boolean needed = turn.neededUntil() + GRANULARITY_MS + CLOCK_TOLERANCE_MS > now;
			if (needed && age >= minAge) {
				old.add(turn);
			}
			if (!needed && age > logRetention) {
				oldestFirst.remove();
			}
		}
		return old;
	}

	Optional<RetainedTurn> find(String request) {
		return Optional.ofNullable(this.turns.get(request));
	}

	int size() {
		return this.turns.size();
	}

	/**
	 * Immutable turn with its newest records.
	 *
	 * @param settled its settlement
	 * @param location the location of its text
	 * @param writtenAt when the records were written, by the monotonic clock
	 * @param retainedUntil until when it is retained without being continued
	 * @param neededUntil until when it or a turn that continues it is retained
	 */
	record RetainedTurn(LedgerEntry.Settled settled, TextLocation location, long writtenAt, long retainedUntil,
			long neededUntil) {

		private RetainedTurn neededUntil(long until) {
			return new RetainedTurn(this.settled, this.location, this.writtenAt, this.retainedUntil, until);
		}

		// Records may be read in any order, for example if a peer has written the turn.
		private RetainedTurn merge(RetainedTurn other) {
			RetainedTurn newer = isBefore(other) ? other : this;
			return new RetainedTurn(newer.settled, newer.location, newer.writtenAt,
					Math.max(this.retainedUntil, other.retainedUntil), Math.max(this.neededUntil, other.neededUntil));
		}

		private boolean isBefore(RetainedTurn other) {
			RunId run = this.settled.run();
			RunId otherRun = other.settled.run();
			return run.matches(otherRun) ? other.writtenAt > this.writtenAt : otherRun.follows(run);
		}

	}

}
