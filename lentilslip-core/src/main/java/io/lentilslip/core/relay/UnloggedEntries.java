package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Entries that other relays told and the log has not shown yet. If their own relay dies
 * before it could write them, the tokens that they count would be forgotten with the last
 * relay that was told, and a looping program be given them again; so whoever holds a copy
 * writes it once the log had its time to show it. Several may, which readers bear.
 * Bounded: the oldest are given up. Used by one thread.
 */
final class UnloggedEntries {

	/**
	 * How long the entry's own relay has to write it, while the log can be read.
	 */
	private static final long PATIENCE_MS = 1_500;

	private static final int BOUND = 20_000;

	private final long patience;

	private final Map<Key, Waiting> waiting = new LinkedHashMap<>();

	private final LinkedHashSet<Key> logged = new LinkedHashSet<>();

	/**
	 * Creates an empty collection.
	 * @param spread what this relay waits longer than the first one, so that not all
	 * write at once
	 */
	UnloggedEntries(long spread) {
		this.patience = PATIENCE_MS + spread;
	}

	void told(LedgerEntry entry, long now) {
		Key key = Key.of(entry);
		if (this.logged.contains(key)) {
			return;
		}
		this.waiting.putIfAbsent(key, new Waiting(entry, now));
		if (this.waiting.size() > BOUND) {
			this.waiting.remove(this.waiting.keySet().iterator().next());
		}
	}

	/**
	 * Returns the end of a turn that the log has not shown.
	 * @param request the turn
	 * @return the entry, or empty if it is not known or the log has it
	 */
	Optional<LedgerEntry> turn(String request) {
		return Optional.ofNullable(this.waiting.get(new Key(request, LedgerEntry.Settled.class))).map(Waiting::entry);
	}

	/**
	 * Returns the entries of one program that its tokens are counted by. Turns with text
	 * are left out: to whoever is told, they stay reserved at their most until the log
	 * shows them, while their text, told by all relays to one that starts, would fill its
	 * link and its memory.
	 * @param program the program
	 * @return the entries, the oldest first
	 */
	List<LedgerEntry> of(String program) {
		return counted().filter((entry) -> program.equals(program(entry))).toList();
	}

	/**
	 * Returns the entries of all programs that their tokens are counted by.
	 * @return the entries, the oldest first
	 */
	List<LedgerEntry> all() {
		return counted().toList();
	}

	private Stream<LedgerEntry> counted() {
		return this.waiting.values()
			.stream()
			.map(Waiting::entry)
			.filter((entry) -> !(entry instanceof LedgerEntry.Settled settled && settled.kept().isPresent()));
	}

	private static String program(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.Reserved reserved -> reserved.program();
			case LedgerEntry.Settled settled -> settled.program();
			case LedgerEntry.Blamed ignored -> "";
		};
	}

	/**
	 * Takes an entry that the log shows.
	 * @param entry the entry
	 * @return whether the log has shown it before, as far as that is remembered
	 */
	boolean logged(LedgerEntry entry) {
		Key key = Key.of(entry);
		this.waiting.remove(key);
		boolean shownFirst = this.logged.add(key);
		if (this.logged.size() > BOUND) {
			this.logged.removeFirst();
		}
		return !shownFirst;
	}

	/**
	 * Returns the entries that the log should have shown by now, and forgets them.
	 * @param now when the log was read
	 * @return the entries
	 */
	List<LedgerEntry> overdue(long now) {
		List<LedgerEntry> overdue = new ArrayList<>();
		Iterator<Waiting> oldest = this.waiting.values().iterator();
		while (oldest.hasNext()) {
			Waiting next = oldest.next();
			if (now - next.since() < this.patience) {
				break;
			}
			overdue.add(next.entry());
			oldest.remove();
		}
		return overdue;
	}

	/**
	 * Starts the time anew for all entries: the log could not be read until now, so none
	 * had its time to show.
	 * @param now when the log was read again
	 */
	void logBack(long now) {
		this.waiting.replaceAll((key, entry) -> new Waiting(entry.entry(), now));
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * An entry that the log has not shown. Immutable.
	 *
	 * @param entry the entry
	 * @param since when its time began
	 */
	private record Waiting(LedgerEntry entry, long since) {

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
