package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Writes a relay's entries to the store, in order and one call at a time, so that what
 * arrives during a call goes out together in the next one. An append whose outcome is not
 * known is made again: entries may stand in the log twice, which readers bear. Entries
 * that can't be written yet wait; beyond the bound the oldest wait no longer, and other
 * relays alone hold them. Used by the event loop's thread.
 */
public final class EntryWriter {

	/**
	 * The most bytes of one call, below the store's bound.
	 */
	private static final int CALL_BYTES = 1024 * 1024;

	/**
	 * The most entries of one call.
	 */
	private static final int CALL_ENTRIES = 512;

	/**
	 * The most bytes that wait: some minutes of an outage at today's load.
	 */
	private static final long WAITING_BYTES = 24L * 1024 * 1024;

	/**
	 * How long entries that nobody waits for are gathered: calls are priced. What is lost
	 * with all relays at once within this time is the count of turns that have hardly
	 * begun; it is far less than the one turn by which a budget may be passed.
	 */
	private static final Duration GATHER = Duration.ofMillis(100);

	private final Store store;

	private final Timers timers;

	private final Consumer<Set<String>> turnsStored;

	private final Runnable contendersStored;

	private final Consumer<Boolean> health;

	private final IntConsumer givenUp;

	private final Pauses pauses;

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private List<Waiting> underWay = List.of();

	private long bytes;

	private boolean calling;

	private boolean gathering;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param turnsStored takes the kept turns whose ends are in the store
	 * @param contendersStored runs when turns that contend have their places there
	 * @param health takes whether the store answered a call as it should
	 * @param givenUp takes how many entries wait no longer, at each write that drops any
	 */
	public EntryWriter(Store store, Timers timers, RandomGenerator random, Consumer<Set<String>> turnsStored,
			Runnable contendersStored, Consumer<Boolean> health, IntConsumer givenUp) {
		this.store = store;
		this.timers = timers;
		this.turnsStored = turnsStored;
		this.contendersStored = contendersStored;
		this.health = health;
		this.givenUp = givenUp;
		this.pauses = new Pauses(random);
	}

	/**
	 * Takes an entry.
	 * @param entry the entry
	 */
	public void write(LedgerEntry entry) {
		byte[] encoded = RelayCodec.encode(entry, this.timers.timeOfDay());
		this.waiting.add(new Waiting(entry, encoded));
		this.bytes += encoded.length;
		dropOldest();
		if (this.calling) {
			return;
		}
		if (awaited(entry)) {
			call();
			return;
		}
		gather();
	}

	private void dropOldest() {
		int dropped = 0;
		while (this.bytes > WAITING_BYTES) {
			this.bytes -= this.waiting.pollFirst().encoded().length;
			dropped++;
		}
		if (dropped > 0) {
			this.givenUp.accept(dropped);
		}
	}

	/**
	 * Returns how many entries wait.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Returns the entries that the store has not confirmed yet.
	 * @return the entries, the oldest first
	 */
	public List<LedgerEntry> unconfirmed() {
		return Stream.concat(this.underWay.stream(), this.waiting.stream()).map(Waiting::entry).toList();
	}

	private static boolean awaited(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.Reserved reserved -> reserved.contending();
			case LedgerEntry.Settled settled -> settled.text().isPresent();
			case LedgerEntry.Blamed ignored -> false;
		};
	}

	private void gather() {
		if (!this.gathering) {
			this.gathering = true;
			this.timers.after(GATHER, () -> {
				this.gathering = false;
				call();
			});
		}
	}

	private void call() {
		if (this.calling || this.waiting.isEmpty()) {
			return;
		}
		this.calling = true;
		List<Waiting> batch = new ArrayList<>();
		int size = 0;
		while (!this.waiting.isEmpty() && batch.size() < CALL_ENTRIES) {
			int next = this.waiting.peekFirst().encoded().length;
			if (!batch.isEmpty() && size + next > CALL_BYTES) {
				break;
			}
			size += next;
			batch.add(this.waiting.pollFirst());
		}
		this.bytes -= size;
		this.underWay = batch;
		append(batch);
	}

	private void append(List<Waiting> batch) {
		List<byte[]> records = batch.stream().map(Waiting::encoded).toList();
		this.store.append(Topic.ENTRIES, records, (outcome) -> {
			this.health.accept(outcome instanceof Store.Appended.Done);
			if (outcome instanceof Store.Appended.Done) {
				done(batch);
				return;
			}
			this.timers.after(this.pauses.next(), () -> append(batch));
		});
	}

	private void done(List<Waiting> batch) {
		this.pauses.reset();
		this.calling = false;
		this.underWay = List.of();
		Set<String> turns = new HashSet<>();
		boolean contenders = false;
		for (Waiting written : batch) {
			switch (written.entry()) {
				case LedgerEntry.Settled settled when settled.text().isPresent() -> turns.add(settled.request());
				case LedgerEntry.Reserved reserved when reserved.contending() -> contenders = true;
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
		call();
	}

	/**
	 * An entry that is not in the store yet. Immutable.
	 *
	 * @param entry the entry
	 * @param encoded its bytes
	 */
	private record Waiting(LedgerEntry entry, byte[] encoded) {

	}

}
