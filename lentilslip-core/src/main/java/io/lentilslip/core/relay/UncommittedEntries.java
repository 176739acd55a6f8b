package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Entries that the log has not shown yet: those that other relays told, and own ones,
 * which this relay is writing. If their own relay dies before it could write them, the
 * tokens that they count would be forgotten with the last relay that was told, and a
 * looping program be given them again; so whoever holds a copy writes it once the log had
 * its time to show it. Several may, which readers bear. Bounded: the oldest are given up.
 * Used by one thread.
 */
final class UncommittedEntries {

	/**
	 * How many relays write an entry first whose own relay lives, and twice as many each
	 * further time. Such a relay tries to write it by itself, and the log may just be
	 * late: written by all who were told, it would be later still. One that lives and
	 * does not reach the log needs one other that does.
	 */
	private static final int INITIAL_WRITERS = 2;

	/**
	 * How long the entry's own relay has to write it, while the log can be read.
	 */
	private static final long COMMIT_TIMEOUT_MS = 1_500;

	private static final int MAX_ENTRIES = 20_000;

	private final long commitTimeout;

	private final Map<Key, PendingEntry> pending = new LinkedHashMap<>();

	private final LinkedHashSet<Key> committed = new LinkedHashSet<>();

	/**
	 * Creates an empty collection.
	 * @param spread what this relay waits longer than the first one, so that not all
	 * write at once
	 */
	UncommittedEntries(long spread) {
		this.commitTimeout = COMMIT_TIMEOUT_MS + spread;
	}

	void add(LedgerEntry entry, String sender, long now) {
		Key key = Key.of(entry);
		if (this.committed.contains(key)) {
			return;
		}
		this.pending.putIfAbsent(key, new PendingEntry(entry, sender, now, INITIAL_WRITERS));
		if (this.pending.size() > MAX_ENTRIES) {
			this.pending.remove(this.pending.keySet().iterator().next());
		}
	}

	/**
	 * Returns the entries of one program.
	 * @param program the program
	 * @return the entries, the oldest first
	 */
	List<LedgerEntry> entriesOf(String program) {
		return entries().filter((entry) -> entry.findProgram().filter(program::equals).isPresent()).toList();
	}

	/**
	 * Returns what entries of one program say to be taken: what would be forgotten with
	 * all relays now.
	 * @param program the program
	 * @return the tokens, those of turns that have not ended at their most
	 */
	long tokensOf(String program) {
		Map<String, Integer> byTurn = new HashMap<>();
		for (LedgerEntry entry : entriesOf(program)) {
			switch (entry) {
				case LedgerEntry.Reserved reserved -> byTurn.putIfAbsent(reserved.request(), reserved.maxTokens());
				case LedgerEntry.Settled settled -> byTurn.put(settled.request(), settled.tokens());
				case LedgerEntry.UpstreamFailed ignored -> {
				}
			}
		}
		return byTurn.values().stream().mapToLong(Integer::longValue).sum();
	}

	/**
	 * Returns the entries of all programs.
	 * @return the entries, the oldest first
	 */
	List<LedgerEntry> all() {
		return entries().toList();
	}

	private Stream<LedgerEntry> entries() {
		return this.pending.values().stream().map(PendingEntry::entry);
	}

	/**
	 * Takes an entry that the log shows.
	 * @param entry the entry
	 * @return whether the log has shown it before, as far as that is remembered
	 */
	boolean committed(LedgerEntry entry) {
		Key key = Key.of(entry);
		this.pending.remove(key);
		// A turn that was held back by its keepers and never ran is settled without
		// having been reserved in the log: written then, it would be held back for ever.
		if (entry instanceof LedgerEntry.Settled settled) {
			this.pending.remove(new Key(settled.request(), LedgerEntry.Reserved.class));
		}
		boolean shownFirst = this.committed.add(key);
		if (this.committed.size() > MAX_ENTRIES) {
			this.committed.removeFirst();
		}
		return !shownFirst;
	}

	/**
	 * Returns the entries that the log should have shown by now and that this relay is to
	 * write, and forgets them. Entries that others are to write wait once more.
	 * @param own the name of this relay
	 * @param linked the relays that this one is linked to
	 * @param holders tells which relays were told of an entry; none if all were
	 * @param now when the log was read
	 * @return the entries
	 */
	List<LedgerEntry> takeOverdue(String own, Set<String> linked, Function<LedgerEntry, List<String>> holders,
			long now) {
		List<PendingEntry> due = new ArrayList<>();
		for (PendingEntry next : this.pending.values()) {
			if (now - next.since() < this.commitTimeout) {
				break;
			}
			due.add(next);
		}
		List<LedgerEntry> overdue = new ArrayList<>();
		for (PendingEntry next : due) {
			this.pending.remove(Key.of(next.entry()));
			if (next.sender().equals(own)) {
				this.pending.put(Key.of(next.entry()), next.reschedule(now));
				continue;
			}
			List<String> told = holders.apply(next.entry());
			int rank = told.isEmpty() ? rank(next, own, linked) : told.indexOf(own);
			if (!linked.contains(next.sender()) || rank < next.writers()) {
				overdue.add(next.entry());
				continue;
			}
			this.pending.put(Key.of(next.entry()), next.reschedule(now));
		}
		return overdue;
	}

	// All relays come to the same order without telling each other.
	private static int rank(PendingEntry waiting, String own, Set<String> linked) {
		int ownScore = score(waiting.entry(), own);
		int before = 0;
		for (String peer : linked) {
			before += (!peer.equals(waiting.sender()) && score(waiting.entry(), peer) < ownScore) ? 1 : 0;
		}
		return before;
	}

	private static int score(LedgerEntry entry, String relay) {
		long seed = ((long) entry.request().hashCode() << Integer.SIZE) ^ relay.hashCode();
		return new SplittableRandom(seed).nextInt();
	}

	/**
	 * Starts the time anew for all entries: the log could not be read until now, so none
	 * had its time to show.
	 * @param now when the log was read again
	 */
	void restartTimeouts(long now) {
		this.pending.replaceAll((key, entry) -> new PendingEntry(entry.entry(), entry.sender(), now, entry.writers()));
	}

	int size() {
		return this.pending.size();
	}

	/**
	 * An entry that the log has not shown. Immutable.
	 *
	 * @param entry the entry
	 * @param sender the relay that told it
	 * @param since when its time began
	 * @param helpers how many relays write it next while that one lives
	 */
	private record PendingEntry(LedgerEntry entry, String sender, long since, int writers) {

		PendingEntry reschedule(long now) {
			return new PendingEntry(this.entry, this.sender, now, 2 * this.writers);
		}

	}

	/**
	 * What makes two entries the same. Immutable.
	 *
	 * @param request the request
	 * @param kind the kind of entry
	 */
	private record Key(String request, Class<?> kind) {

		static Key of(LedgerEntry entry) {
			return new Key(entry.request(), entry.getClass());
		}

	}

}
