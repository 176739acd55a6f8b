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
import io.lentilslip.wire.relay.EntryTimestamp;
import io.lentilslip.wire.relay.RelayCodec;
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
	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	/**
	 * The pause while most links are down. What others give to a program is then seen
	 * only here, and a program may begin several turns within half a second: read this
	 * often, a relay lags behind by less than one turn.
	 */
	private static final Duration ISOLATED_POLL_INTERVAL = Duration.ofMillis(80);

	/**
	 * How long after an outage all relays have written what had waited: some times the
	 * longest pause between their tries.
	 */
	private static final Duration BACKLOG_FLUSH_TIME = Duration.ofSeconds(2);

	private static final Logger logger = LoggerFactory.getLogger(EntryReader.class);

	private final Store store;

	private final Timers timers;

	private final Consumer<List<LedgerEntry>> entryListener;

	private final CaughtUpListener caughtUpListener;

	private final Consumer<Boolean> callListener;

	private final BooleanSupplier isolated;

	private final RetryBackoff backoff;

	private long nextOffset;

	private boolean callInFlight;

	private boolean readAgain;

	private boolean reachedEnd;

	private OptionalLong latestWriteTime = OptionalLong.empty();

	private long longestWriteGap;

	private long longestAppendDelay;

	private long lastDelayedAppend;

	private long lastAppend;

	private long catchUpStartedAt;

	private long readNumber;

	/**
	 * Creates a reader.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param entryListener takes what was read, also where that is nothing
	 * @param caughtUpListener runs when the end was reached for the first time, and again
	 * after each {@link #catchUp()}
	 * @param callListener takes whether the store answered a call as it should
	 * @param isolated tells whether most links to other relays are down
	 */
	public EntryReader(Store store, Timers timers, RandomGenerator random, Consumer<List<LedgerEntry>> entryListener,
			CaughtUpListener caughtUpListener, Consumer<Boolean> callListener, BooleanSupplier isolated) {
		this.store = store;
		this.timers = timers;
		this.entryListener = entryListener;
		this.caughtUpListener = caughtUpListener;
		this.callListener = callListener;
		this.isolated = isolated;
		this.catchUpStartedAt = timers.now();
		this.backoff = new RetryBackoff(random);
	}

	/**
	 * Reads now, or once more if a read is under way that may miss what is newest.
	 */
	public void read() {
		if (this.callInFlight) {
			this.readAgain = true;
			return;
		}
		this.callInFlight = true;
		this.readNumber++;
		this.store.read(Topic.ENTRIES, this.nextOffset, Duration.ZERO, this::handleResult);
	}

	/**
	 * Reads up to the end as it is now, and tells when it is reached. A read that is
	 * under way doesn't count: its answer may have been waiting for as long as this
	 * process slept.
	 */
	public void catchUp() {
		this.reachedEnd = false;
		this.catchUpStartedAt = this.timers.now();
		read();
	}

	private void handleResult(Store.ReadResult outcome) {
		this.callInFlight = false;
		this.callListener.accept(!(outcome instanceof Store.ReadResult.Failed));
		switch (outcome) {
			case Store.ReadResult.Records records -> handleRecords(records);
			case Store.ReadResult.Deleted deleted -> {
				this.nextOffset = Math.max(this.nextOffset, deleted.firstOffset());
				read();
			}
			case Store.ReadResult.Failed ignored -> scheduleRead(this.backoff.nextDelay());
		}
	}

	private void handleRecords(Store.ReadResult.Records records) {
		this.backoff.reset();
		this.nextOffset = records.nextOffset();
		this.entryListener.accept(decode(records.records()));
		boolean atEnd = this.nextOffset >= records.endOffset();
		if (atEnd && !this.reachedEnd && !this.readAgain) {
			this.reachedEnd = true;
			this.caughtUpListener.caughtUp(this.nextOffset,
					Duration.ofMillis(this.timers.now() - this.catchUpStartedAt), idleTime());
		}
		if (!atEnd || this.readAgain) {
			this.readAgain = false;
			read();
			return;
		}
		scheduleRead(this.isolated.getAsBoolean() ? ISOLATED_POLL_INTERVAL : POLL_INTERVAL);
	}

	// Of relays that are all lost in an outage some start sooner, and what they write is
	// new when the others read it. The pause before it tells of the outage all the same.
	private void recordTimestamp(EntryTimestamp time) {
		long before = this.latestWriteTime.orElse(time.writtenAt());
		this.longestWriteGap = Math.max(this.longestWriteGap, time.writtenAt() - before);
		this.latestWriteTime = OptionalLong.of(Math.max(before, time.writtenAt()));
		this.lastAppend = Math.max(this.lastAppend, time.appendedAt());
		if (!time.appendDelay().isZero()) {
			boolean other = time.appendedAt() - this.lastDelayedAppend > BACKLOG_FLUSH_TIME.toMillis();
			this.longestAppendDelay = Math.max(other ? 0 : this.longestAppendDelay, time.appendDelay().toMillis());
			this.lastDelayedAppend = Math.max(this.lastDelayedAppend, time.appendedAt());
		}
	}

	private Optional<Duration> idleTime() {
		return this.latestWriteTime.stream().mapToObj((time) -> {
			long pause = Math.max(this.longestWriteGap, Math.abs(this.timers.wallClockMillis() - time));
			return Duration.ofMillis(Math.max(pause, trailingAppendDelay()));
		}).findFirst();
	}

	// An outage that ended just before all relays were lost: some could still write what
	// had waited, and what others held is gone.
	private long trailingAppendDelay() {
		return (this.lastAppend - this.lastDelayedAppend < BACKLOG_FLUSH_TIME.toMillis()) ? this.longestAppendDelay : 0;
	}

	private void scheduleRead(Duration pause) {
		long turn = this.readNumber;
		this.timers.schedule(pause, () -> {
			if (turn == this.readNumber) {
				read();
			}
		});
	}

	private List<LedgerEntry> decode(List<Store.StoredRecord> records) {
		List<LedgerEntry> read = new ArrayList<>();
		for (Store.StoredRecord stored : records) {
			DecodedEntry logged = RelayCodec.decodeEntry(stored.value().orElse(new byte[0]));
			if (!this.reachedEnd) {
				logged.timestamp().ifPresent(this::recordTimestamp);
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
		 * @param handleRecords how long it took
		 * @param idleTime the longest time for which nothing was written or entries
		 * waited that may not all be there, up to now, by the clocks of writers and this
		 * process; empty if there is no entry
		 */
		void caughtUp(long offset, Duration duration, Optional<Duration> idle);

	}

}
