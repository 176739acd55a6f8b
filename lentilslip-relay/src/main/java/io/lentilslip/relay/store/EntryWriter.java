package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Writes a relay's entries to the store: those that somebody waits for at once, with all
 * that wait, the others after a moment in which more may come. Entries that can't be
 * written yet wait; beyond the bound other relays alone hold them. Used by the event
 * loop's thread.
 */
public final class EntryWriter {

	/**
	 * The most bytes that wait: some minutes of an outage at today's load.
	 */
	private static final long MAX_QUEUED_BYTES = 24L * 1024 * 1024;

	/**
	 * How long entries that nobody waits for are gathered: calls are priced. What is lost
	 * with all relays at once within this time is the count of turns that have hardly
	 * begun; it is far less than the one turn by which a budget may be passed.
	 */
	private static final Duration LINGER = Duration.ofMillis(100);

	/**
	 * How long an entry may wait without saying so: several times what it waits while the
	 * log answers. Those that wait longer show whoever reads them that it was away.
	 */
	private static final Duration MIN_RECORDED_DELAY = Duration.ofMillis(500);

	private final Timers timers;

	private final Consumer<Set<String>> turnsStored;

	private final Runnable contendersStored;

	private final AppendQueue<LedgerEntry> queue;

	private boolean flushScheduled;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param turnsStored takes the kept turns whose ends are in the store
	 * @param contendersStored runs when turns that contend have their places there
	 * @param callListener takes whether the store answered a call as it should
	 * @param dropListener takes how many entries wait no longer, at each write that drops
	 * any
	 */
	public EntryWriter(Store store, Timers timers, RandomGenerator random, Consumer<Set<String>> turnsStored,
			Runnable contendersStored, Consumer<Boolean> callListener, IntConsumer dropListener) {
		this.timers = timers;
		this.turnsStored = turnsStored;
		this.contendersStored = contendersStored;
		this.queue = new AppendQueue<>((records, then) -> store.append(Topic.ENTRIES, records, then),
				EntryWriter::stampDelay, timers, random, MAX_QUEUED_BYTES, (entries, offset, took) -> stored(entries),
				callListener, dropListener);
	}

	private static byte[] stampDelay(byte[] encoded, Duration waited) {
		return (waited.compareTo(MIN_RECORDED_DELAY) < 0) ? encoded : RelayCodec.withAppendDelay(encoded, waited);
	}

	/**
	 * Takes an entry.
	 * @param entry the entry
	 */
	public void write(LedgerEntry entry) {
		this.queue.add(entry, RelayCodec.encode(entry, this.timers.wallClockMillis()));
		if (this.queue.hasCallInFlight()) {
			return;
		}
		if (needsImmediateFlush(entry)) {
			this.queue.flush();
			return;
		}
		scheduleFlush();
	}

	/**
	 * Returns how many entries wait.
	 * @return the number
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Returns the entries that the store has not confirmed yet.
	 * @return the entries, the oldest first
	 */
	public List<LedgerEntry> unacknowledged() {
		return this.queue.unacknowledged();
	}

	private static boolean needsImmediateFlush(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.Reserved reserved -> reserved.conditional();
			case LedgerEntry.Settled settled -> settled.textLocation().isPresent();
			case LedgerEntry.UpstreamFailed ignored -> false;
		};
	}

	private void scheduleFlush() {
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.timers.schedule(LINGER, () -> {
				this.flushScheduled = false;
				this.queue.flush();
			});
		}
	}

	private void stored(List<LedgerEntry> entries) {
		Set<String> turns = new HashSet<>();
		boolean contenders = false;
		for (LedgerEntry written : entries) {
			switch (written) {
				case LedgerEntry.Settled settled when settled.textLocation().isPresent() ->
					turns.add(settled.request());
				case LedgerEntry.Reserved reserved when reserved.conditional() -> contenders = true;
				default -> {
				}
			}
		}
		if (!turns.isEmpty()) {
			this.turnsStored.accept(turns);
		}
		if (contenders) {
			this.contendersStored.run();
		}
	}

}
