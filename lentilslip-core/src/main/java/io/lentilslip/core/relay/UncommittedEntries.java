package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Ledger entries that have not been read from the log yet: replicated by other relays, or
 * being appended by this one. If the relay that created an entry fails before the append,
 * the usage in it would be lost with the last copy, and the tokens could be granted
 * again. A relay that holds a copy therefore appends it after a timeout. Several may do
 * so, as readers ignore duplicates. The size is bounded by removing the oldest entries.
 * Used by one thread.
 */
final class UncommittedEntries {

	/**
	 * Number of relays that append an overdue entry while its sender is connected;
	 * doubled after each further timeout. The limit prevents duplicates from loading a
	 * slow log; one relay that reaches the log is enough.
	 */
	private static final int INITIAL_WRITERS = 2;

	/**
	 * Time that the sender of an entry has to append it while the log can be read.
	 */
	private static final long COMMIT_TIMEOUT_MS = 1_500;

	private static final int MAX_ENTRIES = 20_000;

	private final long commitTimeout;

	private final Map<Key, PendingEntry> pending = new LinkedHashMap<>();

	/**
	 * The keys of the pending entries of each program, in the same order.
	 */
	private final Map<String, Set<Key>> keysByProgram = new HashMap<>();

	private final LinkedHashSet<Key> committed = new LinkedHashSet<>();

	/**
	 * Creates an empty collection.
	 * @param jitterMillis the additional timeout of this relay, so that not all relays
	 * append at once
	 */
	UncommittedEntries(long jitterMillis) {
		this.commitTimeout = COMMIT_TIMEOUT_MS + jitterMillis;
	}

	void add(LedgerEntry entry, String sender, long now) {
		Key key = Key.of(entry);
		if (this.committed.contains(key)) {
			return;
		}
		PendingEntry added = new PendingEntry(entry, sender, now, INITIAL_WRITERS);
		PendingEntry known = this.pending.get(key);
		put(key, (known != null) ? known.latest(added) : added);
		if (this.pending.size() > MAX_ENTRIES) {
			remove(this.pending.keySet().iterator().next());
		}
	}

	private void put(Key key, PendingEntry entry) {
		PendingEntry previous = this.pending.put(key, entry);
		if (previous != null && previous.program().equals(entry.program())) {
			return;
		}
		if (previous != null) {
			removeFromProgram(key, previous);
		}
		entry.program().ifPresent((program) -> {
			Set<Key> keys = this.keysByProgram.computeIfAbsent(program, (added) -> new LinkedHashSet<>());
			keys.add(key);
		});
	}

	private void remove(Key key) {
		PendingEntry removed = this.pending.remove(key);
		if (removed != null) {
			removeFromProgram(key, removed);
		}
	}

	private void removeFromProgram(Key key, PendingEntry entry) {
		entry.program().ifPresent((program) -> {
			Set<Key> keys = this.keysByProgram.get(program);
			keys.remove(key);
			if (keys.isEmpty()) {
				this.keysByProgram.remove(program);
			}
		});
	}

	/**
	 * Returns the entries of a program.
	 * @param program the program
	 * @return the entries, oldest first
	 */
	List<LedgerEntry> entriesOf(String program) {
		return this.keysByProgram.getOrDefault(program, Set.of())
			.stream()
			.map((key) -> this.pending.get(key).entry())
			.toList();
	}

	/**
	 * Returns the usage of a program that is recorded in these entries only, and would be
	 * lost if all relays fail.
	 * @param program the program
	 * @return the tokens, with the maximum of turns that are not settled
	 */
	long tokensOf(String program) {
		Map<RunId, Integer> byTurn = new HashMap<>();
		for (LedgerEntry entry : entriesOf(program)) {
			switch (entry) {
				case LedgerEntry.Reserved reserved -> byTurn.putIfAbsent(reserved.run(), reserved.maxTokens());
				case LedgerEntry.Settled settled -> byTurn.put(settled.run(), settled.tokens());
				case LedgerEntry.UsageRenewed ignored -> {
					// Written once all of these are in the log.
				}
				case LedgerEntry.UpstreamFailed ignored -> {
				}
			}
		}
		return byTurn.values().stream().mapToLong(Integer::longValue).sum();
	}

	/**
	 * Returns the entries of all programs.
	 * @return the entries, oldest first
	 */
	List<LedgerEntry> all() {
		return this.pending.values().stream().map(PendingEntry::entry).toList();
	}

	/**
	 * Removes an entry that was read from the log.
	 * @param entry the entry
	 * @return whether it is a duplicate of one of the last entries read from the log
	 */
	boolean committed(LedgerEntry entry) {
		Key key = Key.of(entry);
		remove(key);
		// The reservation of a settled turn may never have been in the log. Appended
		// after the settlement it would never be released.
		if (entry instanceof LedgerEntry.Settled settled) {
			remove(new Key(settled.run(), LedgerEntry.Reserved.class, "", 0));
		}
		boolean first = this.committed.add(key);
		if (this.committed.size() > MAX_ENTRIES) {
			this.committed.removeFirst();
		}
		return !first;
	}

	/**
	 * Removes and returns the entries whose commit timeout has expired and that this
	 * relay has to append. The timeout of those that other relays append is restarted.
	 * @param self the name of this relay
	 * @param linkedPeers the relays connected to this one
	 * @param replicas returns the relays that hold a copy of an entry, or an empty list
	 * if all relays do
	 * @param now when the log was read
	 * @return the entries
	 */
	List<LedgerEntry> takeOverdue(String self, Set<String> linkedPeers, Function<LedgerEntry, List<String>> replicas,
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
			remove(Key.of(next.entry()));
			if (next.sender().equals(self)) {
				put(Key.of(next.entry()), next.reschedule(now));
				continue;
			}
			List<String> holders = replicas.apply(next.entry());
			int rank = holders.isEmpty() ? rank(next, self, linkedPeers) : holders.indexOf(self);
			if (!linkedPeers.contains(next.sender()) || rank < next.writers()) {
				overdue.add(next.entry());
				continue;
			}
			put(Key.of(next.entry()), next.reschedule(now));
		}
		return overdue;
	}

	// A hash of entry and relay gives all relays the same order without coordination.
	private static int rank(PendingEntry pendingEntry, String self, Set<String> linkedPeers) {
		int selfScore = score(pendingEntry.entry(), self);
		int rank = 0;
		for (String peer : linkedPeers) {
			rank += (!peer.equals(pendingEntry.sender()) && score(pendingEntry.entry(), peer) < selfScore) ? 1 : 0;
		}
		return rank;
	}

	private static int score(LedgerEntry entry, String relay) {
		long seed = ((long) entry.request().hashCode() << Integer.SIZE) ^ relay.hashCode();
		return new SplittableRandom(seed).nextInt();
	}

	/**
	 * Restarts the timeout of all entries after a period in which the log could not be
	 * read.
	 * @param now when the log was read again
	 */
	void restartTimeouts(long now) {
		this.pending.replaceAll((key, entry) -> new PendingEntry(entry.entry(), entry.sender(), now, entry.writers()));
	}

	int size() {
		return this.pending.size();
	}

	/**
	 * An entry that was not read from the log yet. Immutable.
	 *
	 * @param entry the entry
	 * @param sender the relay that sent it
	 * @param since when its timeout started
	 * @param writers the number of relays that append it next while its sender is
	 * connected
	 */
	private record PendingEntry(LedgerEntry entry, String sender, long since, int writers) {

		Optional<String> program() {
			return this.entry.findProgram();
		}

		// The reservation of a turn has no attempt before it is sent.
		PendingEntry latest(PendingEntry next) {
			boolean sent = next.entry instanceof LedgerEntry.Reserved reserved && reserved.stream().isPresent();
			return sent ? new PendingEntry(next.entry, this.sender, this.since, this.writers) : this;
		}

		PendingEntry reschedule(long now) {
			return new PendingEntry(this.entry, this.sender, now, 2 * this.writers);
		}

	}

	/**
	 * Identity of an entry. Immutable.
	 *
	 * @param run the run
	 * @param kind the type of the entry
	 * @param upstream the failed upstream, empty for other entries: a request may fail on
	 * several
	 * @param digest the digest that the failure counts for, 0 for other entries
	 */
	private record Key(RunId run, Class<?> kind, String upstream, long digest) {

		static Key of(LedgerEntry entry) {
			return (entry instanceof LedgerEntry.UpstreamFailed failed)
					? new Key(failed.run(), LedgerEntry.UpstreamFailed.class, failed.upstream(), failed.digest())
					: new Key(entry.run(), entry.getClass(), "", 0);
		}

	}

}
