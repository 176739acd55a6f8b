package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.wire.relay.DecodedEntry;
import io.lentilslip.wire.relay.RelayCodec;
import io.lentilslip.wire.relay.EntryTimestamp;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the entries of all relays from the store: at the start without a pause up to the
 * end, then at intervals: the links between relays bring sooner what this one keeps, and
 * what is wanted before that is asked for. Entries that were deleted before they were
 * read are skipped; they are older than anything that is still asked for. Used by the
 * event loop's thread.
 */
public final class EntryReader {

	/**
	 * The pause between reads while the links bring what can't wait. Each call is priced.
	 */
	private static final Duration PAUSE = Duration.ofMillis(500);

	/**
	 * The pause while most links are down. What others give to a program is then seen
	 * only here, and a program may begin several turns within half a second: read this
	 * often, a relay lags behind by less than one turn.
	 */
	private static final Duration PAUSE_ALONE = Duration.ofMillis(80);

	/**
	 * How long after an outage all relays have written what had waited: some times the
	 * longest pause between their tries.
	 */
	private static final Duration ALL_WRITTEN = Duration.ofSeconds(2);

	private static final Logger logger = LoggerFactory.getLogger(EntryReader.class);

	private final Store store;

	private final Timers timers;

	private final Consumer<List<LedgerEntry>> entries;

	private final CaughtUpListener caughtUp;

	private final Consumer<Boolean> health;

	private final BooleanSupplier alone;

	private final RetryBackoff pauses;

	private long next;

	private boolean calling;

	private boolean again;

	private boolean complete;

	private OptionalLong newest = OptionalLong.empty();

	private long longestPause;

	private long longestLate;

	private long lateUntil;

	private long lastAppended;

	private long since;

	private long scheduled;

	/**
	 * Creates a reader.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param entries takes what was read, also where that is nothing
	 * @param caughtUp runs when the end was reached for the first time, and again after
	 * each {@link #catchUp()}
	 * @param health takes whether the store answered a call as it should
	 * @param alone tells whether most links to other relays are down
	 */
	public EntryReader(Store store, Timers timers, RandomGenerator random, Consumer<List<LedgerEntry>> entries,
			CaughtUpListener caughtUp, Consumer<Boolean> health, BooleanSupplier alone) {
		this.store = store;
		this.timers = timers;
		this.entries = entries;
		this.caughtUp = caughtUp;
		this.health = health;
		this.alone = alone;
		this.since = timers.now();
		this.pauses = new RetryBackoff(random);
	}

	/**
	 * Reads now, or once more if a read is under way that may miss what is newest.
	 */
	public void read() {
		if (this.calling) {
			this.again = true;
			return;
		}
		this.calling = true;
		this.scheduled++;
		this.store.read(Topic.ENTRIES, this.next, Duration.ZERO, this::take);
	}

	/**
	 * Reads up to the end as it is now, and tells when it is reached. A read that is
	 * under way doesn't count: its answer may have been waiting for as long as this
	 * process slept.
	 */
	public void catchUp() {
		this.complete = false;
		this.since = this.timers.now();
		read();
	}

	private void take(Store.ReadResult outcome) {
		this.calling = false;
		this.health.accept(!(outcome instanceof Store.ReadResult.Failed));
		switch (outcome) {
			case Store.ReadResult.Records records -> took(records);
			case Store.ReadResult.Deleted deleted -> {
				this.next = Math.max(this.next, deleted.firstOffset());
				read();
			}
			case Store.ReadResult.Failed ignored -> readAfter(this.pauses.nextDelay());
		}
	}

	private void took(Store.ReadResult.Records records) {
		this.pauses.reset();
		this.next = records.nextOffset();
		this.entries.accept(decode(records.records()));
		boolean atEnd = this.next >= records.endOffset();
		if (atEnd && !this.complete && !this.again) {
			this.complete = true;
			this.caughtUp.caughtUp(this.next, Duration.ofMillis(this.timers.now() - this.since), age());
		}
		if (!atEnd || this.again) {
			this.again = false;
			read();
			return;
		}
		readAfter(this.alone.getAsBoolean() ? PAUSE_ALONE : PAUSE);
	}

	// Of relays that are all lost in an outage some start sooner, and what they write is
	// new when the others read it. The pause before it tells of the outage all the same.
	private void note(EntryTimestamp time) {
		long before = this.newest.orElse(time.writtenAt());
		this.longestPause = Math.max(this.longestPause, time.writtenAt() - before);
		this.newest = OptionalLong.of(Math.max(before, time.writtenAt()));
		this.lastAppended = Math.max(this.lastAppended, time.appendedAt());
		if (!time.appendDelay().isZero()) {
			boolean other = time.appendedAt() - this.lateUntil > ALL_WRITTEN.toMillis();
			this.longestLate = Math.max(other ? 0 : this.longestLate, time.appendDelay().toMillis());
			this.lateUntil = Math.max(this.lateUntil, time.appendedAt());
		}
	}

	private Optional<Duration> age() {
		return this.newest.stream().mapToObj((time) -> {
			long pause = Math.max(this.longestPause, Math.abs(this.timers.wallClockMillis() - time));
			return Duration.ofMillis(Math.max(pause, lateAtTheEnd()));
		}).findFirst();
	}

	// An outage that ended just before all relays were lost: some could still write what
	// had waited, and what others held is gone.
	private long lateAtTheEnd() {
		return (this.lastAppended - this.lateUntil < ALL_WRITTEN.toMillis()) ? this.longestLate : 0;
	}

	private void readAfter(Duration pause) {
		long turn = this.scheduled;
		this.timers.schedule(pause, () -> {
			if (turn == this.scheduled) {
				read();
			}
		});
	}

	private List<LedgerEntry> decode(List<Store.StoredRecord> records) {
		List<LedgerEntry> read = new ArrayList<>();
		for (Store.StoredRecord stored : records) {
			DecodedEntry logged = RelayCodec.decodeEntry(stored.value().orElse(new byte[0]));
			if (!this.complete) {
				logged.timestamp().ifPresent(this::note);
			}
			if (logged.entry().isLeft()) {
				// Another version's entry: skipped, since stopping here would stop all.
				logger.warn("entry at {} is unreadable: {}", stored.offset(), logged.entry().getLeft());
				continue;
			}
			read.add(logged.entry().get());
		}
		return read;
	}

	/**
	 * Takes that the end of the log was reached. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface CaughtUpListener {

		/**
		 * The end was reached.
		 * @param offset the offset after the last entry
		 * @param took how long it took
		 * @param age the longest time for which nothing was written or entries waited
		 * that may not all be there, up to now, by the clocks of writers and this
		 * process; empty if there is no entry
		 */
		void caughtUp(long offset, Duration took, Optional<Duration> age);

	}

}
