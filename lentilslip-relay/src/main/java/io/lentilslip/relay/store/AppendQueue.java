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
 * What waits to be appended to one partition of the store: goes out in order and one call
 * at a time, so that what arrives during a call goes out together in the next one. An
 * append whose outcome is not known is made again: records may stand in the store twice,
 * which readers bear. Beyond the bound the oldest wait no longer. Used by the event
 * loop's thread.
 *
 * @param <T> what a record stands for
 */
final class AppendQueue<T> {

	/**
	 * The most bytes of one call, below the store's bound.
	 */
	private static final int MAX_CALL_BYTES = 1024 * 1024;

	/**
	 * The most records of one call.
	 */
	private static final int MAX_CALL_RECORDS = 512;

	private final Appender appender;

	private final RecordStamper stamper;

	private final Timers timers;

	private final RetryBackoff backoff;

	private final long maxQueuedBytes;

	private final AppendListener<T> listener;

	private final Consumer<Boolean> callListener;

	private final IntConsumer dropListener;

	private final Deque<QueuedRecord<T>> queue = new ArrayDeque<>();

	private List<QueuedRecord<T>> inFlight = List.of();

	private long queuedBytes;

	/**
	 * Creates an empty queue.
	 * @param appender appends records to the partition
	 * @param stamper puts into a record how long it waited
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param maxQueuedBytes the most bytes that wait
	 * @param listener takes what the store has
	 * @param callListener takes whether the store answered a call as it should
	 * @param dropListener takes how many records wait no longer, each time that any do
	 */
	AppendQueue(Appender appender, RecordStamper stamper, Timers timers, RandomGenerator random, long maxQueuedBytes,
			AppendListener<T> listener, Consumer<Boolean> callListener, IntConsumer dropListener) {
		this.appender = appender;
		this.stamper = stamper;
		this.timers = timers;
		this.backoff = new RetryBackoff(random);
		this.maxQueuedBytes = maxQueuedBytes;
		this.listener = listener;
		this.callListener = callListener;
		this.dropListener = dropListener;
	}

	/**
	 * Takes a record, which waits until {@link #flush()} or the end of the call under
	 * way.
	 * @param item what the record stands for
	 * @param encoded its bytes
	 */
	void add(T item, byte[] encoded) {
		this.queue.add(new QueuedRecord<>(item, encoded, this.timers.now()));
		this.queuedBytes += encoded.length;
		dropOldest();
	}

	private void dropOldest() {
		int dropped = 0;
		while (this.queuedBytes > this.maxQueuedBytes) {
			this.queuedBytes -= this.queue.pollFirst().encoded().length;
			dropped++;
		}
		if (dropped > 0) {
			this.dropListener.accept(dropped);
		}
	}

	int size() {
		return this.queue.size();
	}

	/**
	 * Returns what the store has not confirmed yet.
	 * @return the items, the oldest first
	 */
	List<T> unacknowledged() {
		return Stream.concat(this.inFlight.stream(), this.queue.stream()).map(QueuedRecord::item).toList();
	}

	boolean hasCallInFlight() {
		return !this.inFlight.isEmpty();
	}

	/**
	 * Appends what waits, unless a call is under way.
	 */
	void flush() {
		if (hasCallInFlight() || this.queue.isEmpty()) {
			return;
		}
		List<QueuedRecord<T>> batch = new ArrayList<>();
		int size = 0;
		while (!this.queue.isEmpty() && batch.size() < MAX_CALL_RECORDS) {
			int next = this.queue.peekFirst().encoded().length;
			if (!batch.isEmpty() && size + next > MAX_CALL_BYTES) {
				break;
			}
			size += next;
			batch.add(this.queue.pollFirst());
		}
		this.queuedBytes -= size;
		this.inFlight = batch;
		append();
	}

	private void append() {
		long began = this.timers.now();
		List<byte[]> records = new ArrayList<>();
		for (QueuedRecord<T> next : this.inFlight) {
			records.add(this.stamper.stamp(next.encoded(), Duration.ofMillis(began - next.queuedAt())));
		}
		this.appender.append(records, (outcome) -> {
			this.callListener.accept(outcome instanceof Store.AppendResult.Success);
			if (outcome instanceof Store.AppendResult.Success done) {
				appendSucceeded(done, Duration.ofMillis(this.timers.now() - began));
				return;
			}
			this.timers.schedule(this.backoff.nextDelay(), this::append);
		});
	}

	private void appendSucceeded(Store.AppendResult.Success done, Duration took) {
		this.backoff.reset();
		List<T> items = this.inFlight.stream().map(QueuedRecord::item).toList();
		this.inFlight = List.of();
		this.listener.stored(items, done.offset(), took);
		flush();
	}

	/**
	 * Appends records to a partition. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface Appender {

		/**
		 * Appends records, all or none.
		 * @param records the records
		 * @param then takes the outcome
		 */
		void append(List<byte[]> records, Consumer<Store.AppendResult> then);

	}

	/**
	 * Puts into a record how long it waited. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface RecordStamper {

		/**
		 * Makes the record that is appended.
		 * @param encoded the bytes of the record
		 * @param waited how long it waited until now
		 * @return the bytes to append
		 */
		byte[] stamp(byte[] encoded, Duration waited);

	}

	/**
	 * Takes what the store has. Used by the event loop's thread.
	 *
	 * @param <T> what a record stands for
	 */
	@FunctionalInterface
	interface AppendListener<T> {

		/**
		 * Records are in the store.
		 * @param items what they stand for, in order
		 * @param offset the offset of the first one
		 * @param took how long the store took
		 */
		void stored(List<T> items, long offset, Duration took);

	}

	/**
	 * A record that is not in the store yet. Immutable.
	 *
	 * @param <T> what a record stands for
	 * @param item what it stands for
	 * @param encoded its bytes
	 * @param since since when it waits
	 */
	private record QueuedRecord<T>(T item, byte[] encoded, long queuedAt) {

	}

}
