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
 * Reads the entries of all relays from the log. Until it reaches the end for the first
 * time it reads without delay, then it polls at intervals: replication over the links is
 * faster, and urgent entries trigger a read. Entries that were deleted before they were
 * read are skipped; they are older than any entry still in use. Used by the event loop's
 * thread.
 */
public final class EntryReader {

	/**
	 * The polling interval while most links are up. Limits the load on the store, whose
	 * calls are billed.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	/**
	 * The polling interval while most links are down. The log is then the only source of
	 * other relays' entries, so the lag has to stay below the duration of one turn: a
	 * program may start several turns within half a second.
	 */
	private static final Duration ISOLATED_POLL_INTERVAL = Duration.ofMillis(80);

	/**
	 * How long after an outage all relays have appended their queued entries: several
	 * times the maximum retry delay.
	 */
	private static final Duration BACKLOG_FLUSH_TIME = Duration.ofSeconds(2);

	private static final Logger logger = LoggerFactory.getLogger(EntryReader.class);

	private final Store store;

	private final Timers timers;

	private final EntryListener entryListener;

	private final CaughtUpListener caughtUpListener;

	private final Consumer<Boolean> callListener;

	private final BooleanSupplier isolated;

	private final Consumer<Throwable> errorListener;

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

	private long sentAt;

	/**
	 * Creates a reader.
	 * @param store the store
	 * @param timers schedules reads
	 * @param random the source of retry jitter
	 * @param entryListener receives the entries of each read, including empty reads
	 * @param caughtUpListener notified when the end of the log is first reached, and
	 * again after each {@link #catchUp()}
	 * @param callListener receives whether each call to the store succeeded
	 * @param isolated returns whether most links to other relays are down
	 * @param errorListener receives what is thrown while entries are handled
	 */
	public EntryReader(Store store, Timers timers, RandomGenerator random, EntryListener entryListener,
			CaughtUpListener caughtUpListener, Consumer<Boolean> callListener, BooleanSupplier isolated,
			Consumer<Throwable> errorListener) {
		this.errorListener = errorListener;
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
	 * Reads now. If a read is in flight, another one follows, since the former may miss
	 * the latest entries.
	 */
	public void read() {
		if (this.callInFlight) {
			this.readAgain = true;
			return;
		}
		this.callInFlight = true;
		this.readNumber++;
		this.sentAt = this.timers.now();
		this.store.read(Topic.ENTRIES, this.nextOffset, Duration.ZERO, this::handleResult);
	}

	/**
	 * Reads up to the current end of the log and notifies the listener when it is
	 * reached. A read that is already in flight does not count, since its response may
	 * date from before a pause of this process.
	 */
	public void catchUp() {
		this.reachedEnd = false;
		this.catchUpStartedAt = this.timers.now();
		read();
	}

	private void handleResult(Store.ReadResult result) {
		this.callInFlight = false;
		this.callListener.accept(!(result instanceof Store.ReadResult.Failed));
		switch (result) {
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
		boolean handled = handleEntries(records.records());
		boolean atEnd = this.nextOffset >= records.endOffset();
		if (atEnd && !this.reachedEnd && !this.readAgain) {
			this.reachedEnd = true;
			this.caughtUpListener.caughtUp(this.nextOffset,
					Duration.ofMillis(this.timers.now() - this.catchUpStartedAt), idleTime());
		}
		if (atEnd && handled) {
			this.entryListener.endRead(this.sentAt);
		}
		if (!atEnd || this.readAgain) {
			this.readAgain = false;
			read();
			return;
		}
		scheduleRead(this.isolated.getAsBoolean() ? ISOLATED_POLL_INTERVAL : POLL_INTERVAL);
	}

	// The log is read on whatever an entry does, since nothing else would read it.
	private boolean handleEntries(List<Store.StoredRecord> records) {
		try {
			decode(records);
			return true;
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.errorListener.accept(ex);
			return false;
		}
	}

	// After a loss of all relays, entries of those that restarted first are recent. The
	// write gap before them still shows the outage.
	private void recordTimestamp(EntryTimestamp timestamp) {
		long previous = this.latestWriteTime.orElse(timestamp.writtenAt());
		this.longestWriteGap = Math.max(this.longestWriteGap, timestamp.writtenAt() - previous);
		this.latestWriteTime = OptionalLong.of(Math.max(previous, timestamp.writtenAt()));
		this.lastAppend = Math.max(this.lastAppend, timestamp.appendedAt());
		if (!timestamp.appendDelay().isZero()) {
			boolean newOutage = timestamp.appendedAt() - this.lastDelayedAppend > BACKLOG_FLUSH_TIME.toMillis();
			this.longestAppendDelay = Math.max(newOutage ? 0 : this.longestAppendDelay,
					timestamp.appendDelay().toMillis());
			this.lastDelayedAppend = Math.max(this.lastDelayedAppend, timestamp.appendedAt());
		}
	}

	private Optional<Duration> idleTime() {
		return this.latestWriteTime.stream().mapToObj((time) -> {
			long idle = Math.max(this.longestWriteGap, Math.abs(this.timers.wallClockMillis() - time));
			return Duration.ofMillis(Math.max(idle, trailingAppendDelay()));
		}).findFirst();
	}

	// If the outage ended just before all relays were lost, only some of them had
	// appended their queued entries; the others' entries are lost.
	private long trailingAppendDelay() {
		return (this.lastAppend - this.lastDelayedAppend < BACKLOG_FLUSH_TIME.toMillis()) ? this.longestAppendDelay : 0;
	}

	private void scheduleRead(Duration delay) {
		long number = this.readNumber;
		this.timers.schedule(delay, () -> {
			if (number == this.readNumber) {
				read();
			}
		});
	}

	private void decode(List<Store.StoredRecord> records) {
		List<LedgerEntry> entries = new ArrayList<>();
		List<Duration> ages = new ArrayList<>();
		for (Store.StoredRecord stored : records) {
			DecodedEntry decoded = RelayCodec.decodeEntry(stored.value().orElse(new byte[0]));
			if (!this.reachedEnd) {
				decoded.timestamp().ifPresent(this::recordTimestamp);
			}
			if (decoded.entry().isLeft()) {
				// Written by another version. Stopping here would stop all reads of the
				// log.
				logger.warn("Skipping unreadable log entry at offset {}: {}", stored.offset(),
						decoded.entry().getLeft());
				continue;
			}
			entries.add(decoded.entry().get());
			ages.add(decoded.timestamp().map(this::age).orElse(Duration.ZERO));
		}
		this.entryListener.entriesRead(entries, ages);
	}

	// At the end of the log the time since the append is known without comparing clocks.
	private Duration age(EntryTimestamp timestamp) {
		return this.reachedEnd ? timestamp.appendDelay()
				: Duration.ofMillis(Math.max(0, this.timers.wallClockMillis() - timestamp.writtenAt()));
	}

	/**
	 * Receives the entries of each read. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface EntryListener {

		/**
		 * Called after each read.
		 * @param entries the entries
		 * @param ages how long ago each entry was written
		 */
		void entriesRead(List<LedgerEntry> entries, List<Duration> ages);

		/**
		 * Called after each read that reached the end of the log.
		 * @param sentAt when the read was sent, by the monotonic clock
		 */
		default void endRead(long sentAt) {
		}

	}

	/**
	 * Notified when the end of the log is reached. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface CaughtUpListener {

		/**
		 * Called when the end of the log is reached.
		 * @param offset the offset after the last entry
		 * @param duration the time it took to read up to the end
		 * @param idle the longest period, up to now, without a write or with delayed
		 * appends that may be incomplete, by the clocks of the writers and of this
		 * process; empty if the log has no entries
		 */
		void caughtUp(long offset, Duration duration, Optional<Duration> idle);

	}

}
