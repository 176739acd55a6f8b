package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Appends this relay's entries to the log. An entry that a request waits for is appended
 * at once together with all queued ones; other entries are batched for a short time.
 * While the store is unavailable, entries are queued; those dropped at the size limit
 * exist only on other relays. Used by the event loop's thread.
 */
public final class EntryWriter {

	/**
	 * The maximum total size of queued entries, enough for an outage of some minutes.
	 */
	private static final long MAX_QUEUED_BYTES = 24L * 1024 * 1024;

	/**
	 * The batching delay of entries that no request waits for. Reservations of this
	 * period are lost if all relays are lost. They must amount to less than the one turn
	 * by which a budget may be exceeded.
	 */
	private static final Duration LINGER = Duration.ofMillis(100);

	/**
	 * The minimum queueing delay that is recorded in an entry. It exceeds normal append
	 * latency, so a recorded delay indicates an outage of the log.
	 */
	private static final Duration MIN_RECORDED_DELAY = Duration.ofMillis(500);

	private final Timers timers;

	private final Consumer<Set<String>> turnsStored;

	private final Consumer<Set<String>> renewalsStored;

	private final Consumer<Map<RunId, Integer>> streamAttemptsStored;

	private final Runnable conditionalReservationsStored;

	private final AppendQueue<LedgerEntry> queue;

	private boolean flushScheduled;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers schedules appends
	 * @param random the source of retry jitter
	 * @param turnsStored receives the stored turns whose settlements were acknowledged
	 * @param renewalsStored receives the stored turns whose repeated settlements were
	 * acknowledged
	 * @param streamAttemptsStored receives the number of the last acknowledged attempt of
	 * each stream
	 * @param conditionalReservationsStored runs when conditional reservations were
	 * acknowledged
	 * @param callListener receives whether each call to the store succeeded
	 * @param dropListener receives the number of entries whenever some are dropped
	 */
	public EntryWriter(Store store, Timers timers, RandomGenerator random, Consumer<Set<String>> turnsStored,
			Consumer<Set<String>> renewalsStored, Consumer<Map<RunId, Integer>> streamAttemptsStored,
			Runnable conditionalReservationsStored, Consumer<Boolean> callListener, IntConsumer dropListener) {
		this.timers = timers;
		this.turnsStored = turnsStored;
		this.renewalsStored = renewalsStored;
		this.streamAttemptsStored = streamAttemptsStored;
		this.conditionalReservationsStored = conditionalReservationsStored;
		this.queue = new AppendQueue<>((records, callback) -> store.append(Topic.ENTRIES, records, callback),
				EntryWriter::stampDelay, timers, random, MAX_QUEUED_BYTES,
				(entries, offset, latency) -> stored(entries), callListener, dropListener, (before, next) -> false);
	}

	private static byte[] stampDelay(byte[] encoded, Duration delay) {
		return (delay.compareTo(MIN_RECORDED_DELAY) < 0) ? encoded : RelayCodec.withAppendDelay(encoded, delay);
	}

	/**
	 * Queues an entry to be appended.
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
	 * Appends the queued entries now, unless an append is in flight.
	 */
	public void flush() {
		this.queue.flush();
	}

	/**
	 * Returns the number of queued entries.
	 * @return the number
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Returns the entries that the store has not acknowledged yet.
	 * @return the entries, oldest first
	 */
	public List<LedgerEntry> unacknowledged() {
		return this.queue.unacknowledged();
	}

	private static boolean needsImmediateFlush(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.Reserved reserved -> reserved.conditional();
			case LedgerEntry.Settled settled -> settled.textLocation().isPresent() && !settled.renewal();
			case LedgerEntry.UsageRenewed ignored -> false;
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
		Set<String> renewals = new HashSet<>();
		boolean conditionalReservations = false;
		Map<RunId, Integer> attempts = new HashMap<>();
		for (LedgerEntry written : entries) {
			switch (written) {
				case LedgerEntry.Settled settled when settled.renewal() -> renewals.add(settled.request());
				case LedgerEntry.Settled settled when settled.textLocation().isPresent() ->
					turns.add(settled.request());
				case LedgerEntry.Reserved reserved when reserved.conditional() -> conditionalReservations = true;
				case LedgerEntry.Reserved reserved -> reserved.stream()
					.ifPresent((attempt) -> attempts.merge(reserved.run(), attempt.number(), Math::max));
				default -> {
				}
			}
		}
		if (!turns.isEmpty()) {
			this.turnsStored.accept(turns);
		}
		if (!renewals.isEmpty()) {
			this.renewalsStored.accept(renewals);
		}
		if (!attempts.isEmpty()) {
			this.streamAttemptsStored.accept(attempts);
		}
		if (conditionalReservations) {
			this.conditionalReservationsStored.run();
		}
	}

}
