package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Queue of records for one partition of the store. Records are appended in order with at
 * most one call in flight; records added during a call form the next batch. An append
 * with an unknown outcome is retried, so the store may contain duplicates, which readers
 * tolerate. A record that the store can never accept is dropped alone, so that it does
 * not block others. When the queue exceeds its size limit, the oldest records are
 * dropped. Used by the event loop's thread.
 *
 * @param <T> the type of the item that a record represents
 */
final class AppendQueue<T> {

	/**
	 * The maximum size of one append, below the limit of the store.
	 */
	private static final int MAX_CALL_BYTES = 1024 * 1024;

	private static final int MAX_CALL_RECORDS = 512;

	private final Appender appender;

	private final RecordStamper stamper;

	private final Timers timers;

	private final RetryBackoff backoff;

	private final long maxQueuedBytes;

	private final AppendListener<T> listener;

	private final Consumer<Boolean> callListener;

	private final IntConsumer dropListener;

	private final Grouping<T> grouping;

	private final Deque<QueuedRecord<T>> queue = new ArrayDeque<>();

	private List<QueuedRecord<T>> inFlight = List.of();

	private long queuedBytes;

	/**
	 * The number of records that are still to be appended one by one, to find an invalid
	 * one.
	 */
	private int isolated;

	/**
	 * Creates an empty queue.
	 * @param appender appends records to the partition
	 * @param stamper adds the queueing delay to a record
	 * @param timers schedules retries
	 * @param random the source of retry jitter
	 * @param maxQueuedBytes the maximum total size of queued records
	 * @param listener receives acknowledged records
	 * @param callListener receives whether each call to the store succeeded
	 * @param dropListener receives the number of records whenever some are dropped
	 * @param grouping returns which records are useless without each other
	 */
	AppendQueue(Appender appender, RecordStamper stamper, Timers timers, RandomGenerator random, long maxQueuedBytes,
			AppendListener<T> listener, Consumer<Boolean> callListener, IntConsumer dropListener,
			Grouping<T> grouping) {
		this.appender = appender;
		this.stamper = stamper;
		this.timers = timers;
		this.backoff = new RetryBackoff(random);
		this.maxQueuedBytes = maxQueuedBytes;
		this.listener = listener;
		this.callListener = callListener;
		this.dropListener = dropListener;
		this.grouping = grouping;
	}

	/**
	 * Queues a record until the next {@link #flush()} or the end of the call in flight.
	 * @param item the item that the record represents
	 * @param encoded the bytes of the record
	 */
	void add(T item, byte[] encoded) {
		this.queue.add(new QueuedRecord<>(item, encoded, this.timers.now()));
		this.queuedBytes += encoded.length;
		dropOldest();
	}

	private void dropOldest() {
		int dropped = 0;
		while (this.queuedBytes > this.maxQueuedBytes) {
			QueuedRecord<T> oldest = this.queue.pollFirst();
			this.queuedBytes -= oldest.encoded().length;
			dropped += 1 + dropRestOfGroup(oldest);
		}
		if (dropped > 0) {
			this.dropListener.accept(dropped);
		}
	}

	private int dropRestOfGroup(QueuedRecord<T> first) {
		int dropped = 0;
		while (!this.queue.isEmpty() && this.grouping.belongTogether(first.item(), this.queue.peekFirst().item())) {
			this.queuedBytes -= this.queue.pollFirst().encoded().length;
			dropped++;
		}
		return dropped;
	}

	int size() {
		return this.queue.size();
	}

	/**
	 * Returns the items that the store has not acknowledged yet.
	 * @return the items, oldest first
	 */
	List<T> unacknowledged() {
		return Stream.concat(this.inFlight.stream(), this.queue.stream()).map(QueuedRecord::item).toList();
	}

	boolean hasCallInFlight() {
		return !this.inFlight.isEmpty();
	}

	/**
	 * Appends queued records unless a call is in flight.
	 */
	void flush() {
		if (hasCallInFlight() || this.queue.isEmpty()) {
			return;
		}
		List<QueuedRecord<T>> batch = new ArrayList<>();
		int batchBytes = 0;
		int maxRecords = (this.isolated > 0) ? 1 : MAX_CALL_RECORDS;
		while (!this.queue.isEmpty() && batch.size() < maxRecords) {
			int recordBytes = this.queue.peekFirst().encoded().length;
			if (!batch.isEmpty() && batchBytes + recordBytes > MAX_CALL_BYTES) {
				break;
			}
			batchBytes += recordBytes;
			batch.add(this.queue.pollFirst());
		}
		this.queuedBytes -= batchBytes;
		this.isolated = Math.max(0, this.isolated - 1);
		this.inFlight = batch;
		append();
	}

	private void append() {
		long startedAt = this.timers.now();
		List<byte[]> records = new ArrayList<>();
		for (QueuedRecord<T> next : this.inFlight) {
			records.add(this.stamper.stamp(next.encoded(), Duration.ofMillis(startedAt - next.queuedAt())));
		}
		this.appender.append(records, (result) -> {
			this.callListener.accept(result instanceof Store.AppendResult.Success);
			if (result instanceof Store.AppendResult.Success success) {
				appendSucceeded(success, Duration.ofMillis(this.timers.now() - startedAt));
				return;
			}
			if (result instanceof Store.AppendResult.Invalid) {
				appendInvalid();
				return;
			}
			this.timers.schedule(this.backoff.nextDelay(), this::append);
		});
	}

	private void appendInvalid() {
		List<QueuedRecord<T>> records = this.inFlight;
		this.inFlight = List.of();
		if (records.size() == 1) {
			this.dropListener.accept(1 + dropRestOfGroup(records.getFirst()));
			flush();
			return;
		}
		this.isolated = records.size();
		for (QueuedRecord<T> next : records.reversed()) {
			this.queue.addFirst(next);
			this.queuedBytes += next.encoded().length;
		}
		flush();
	}

	private void appendSucceeded(Store.AppendResult.Success success, Duration latency) {
		this.backoff.reset();
		List<T> items = this.inFlight.stream().map(QueuedRecord::item).toList();
		this.inFlight = List.of();
		this.listener.stored(items, success.offset(), latency);
		flush();
	}

	/**
	 * Appends records to a partition. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface Appender {

		/**
		 * Appends records atomically.
		 * @param records the records
		 * @param callback receives the result
		 */
		void append(List<byte[]> records, Consumer<Store.AppendResult> callback);

	}

	/**
	 * Adds the queueing delay to a record. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface RecordStamper {

		/**
		 * Returns the record to append.
		 * @param encoded the bytes of the queued record
		 * @param delay the time that the record has been queued
		 * @return the bytes to append
		 */
		byte[] stamp(byte[] encoded, Duration delay);

	}

	/**
	 * Decides which records are useless without each other. Safe for use by several
	 * threads.
	 *
	 * @param <T> the type of the item that a record represents
	 */
	@FunctionalInterface
	interface Grouping<T> {

		/**
		 * Returns whether a record is useless without the one before it.
		 * @param before the item of the record before
		 * @param next the item of the record
		 * @return whether it is
		 */
		boolean belongTogether(T before, T next);

	}

	/**
	 * Receives acknowledged records. Used by the event loop's thread.
	 *
	 * @param <T> the type of the item that a record represents
	 */
	@FunctionalInterface
	interface AppendListener<T> {

		/**
		 * Called when the store has acknowledged records.
		 * @param items the items of the records, in order
		 * @param offset the offset of the first record
		 * @param latency the latency of the append
		 */
		void stored(List<T> items, long offset, Duration latency);

	}

	/**
	 * A record that is not yet acknowledged by the store. Immutable.
	 *
	 * @param <T> the type of the item that the record represents
	 * @param item the item
	 * @param encoded the bytes of the record
	 * @param queuedAt when the record was queued, in milliseconds of the monotonic clock
	 */
	private record QueuedRecord<T>(T item, byte[] encoded, long queuedAt) {

	}

}
