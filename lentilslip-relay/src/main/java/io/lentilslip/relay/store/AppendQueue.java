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
	private static final int CALL_BYTES = 1024 * 1024;

	/**
	 * The most records of one call.
	 */
	private static final int CALL_RECORDS = 512;

	private final Appender appending;

	private final RecordStamper stamp;

	private final Timers timers;

	private final RetryBackoff pauses;

	private final long bound;

	private final AppendListener<T> stored;

	private final Consumer<Boolean> health;

	private final IntConsumer givenUp;

	private final Deque<QueuedRecord<T>> waiting = new ArrayDeque<>();

	private List<QueuedRecord<T>> inFlight = List.of();

	private long bytes;

	/**
	 * Creates an empty queue.
	 * @param appending appends records to the partition
	 * @param stamp puts into a record how long it waited
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param bound the most bytes that wait
	 * @param stored takes what the store has
	 * @param health takes whether the store answered a call as it should
	 * @param givenUp takes how many records wait no longer, each time that any do
	 */
	AppendQueue(Appender appending, RecordStamper stamp, Timers timers, RandomGenerator random, long bound,
			AppendListener<T> stored, Consumer<Boolean> health, IntConsumer givenUp) {
		this.appending = appending;
		this.stamp = stamp;
		this.timers = timers;
		this.pauses = new RetryBackoff(random);
		this.bound = bound;
		this.stored = stored;
		this.health = health;
		this.givenUp = givenUp;
	}

	/**
	 * Takes a record, which waits until {@link #flush()} or the end of the call under
	 * way.
	 * @param item what the record stands for
	 * @param encoded its bytes
	 */
	void add(T item, byte[] encoded) {
		this.waiting.add(new QueuedRecord<>(item, encoded, this.timers.now()));
		this.bytes += encoded.length;
		dropOldest();
	}

	private void dropOldest() {
		int dropped = 0;
		while (this.bytes > this.bound) {
			this.bytes -= this.waiting.pollFirst().encoded().length;
			dropped++;
		}
		if (dropped > 0) {
			this.givenUp.accept(dropped);
		}
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Returns what the store has not confirmed yet.
	 * @return the items, the oldest first
	 */
	List<T> unacknowledged() {
		return Stream.concat(this.inFlight.stream(), this.waiting.stream()).map(QueuedRecord::item).toList();
	}

	boolean hasCallInFlight() {
		return !this.inFlight.isEmpty();
	}

	/**
	 * Appends what waits, unless a call is under way.
	 */
	void flush() {
		if (hasCallInFlight() || this.waiting.isEmpty()) {
			return;
		}
		List<QueuedRecord<T>> batch = new ArrayList<>();
		int size = 0;
		while (!this.waiting.isEmpty() && batch.size() < CALL_RECORDS) {
			int next = this.waiting.peekFirst().encoded().length;
			if (!batch.isEmpty() && size + next > CALL_BYTES) {
				break;
			}
			size += next;
			batch.add(this.waiting.pollFirst());
		}
		this.bytes -= size;
		this.inFlight = batch;
		append();
	}

	private void append() {
		long began = this.timers.now();
		List<byte[]> records = new ArrayList<>();
		for (QueuedRecord<T> next : this.inFlight) {
			records.add(this.stamp.stamp(next.encoded(), Duration.ofMillis(began - next.since())));
		}
		this.appending.append(records, (outcome) -> {
			this.health.accept(outcome instanceof Store.AppendResult.Success);
			if (outcome instanceof Store.AppendResult.Success done) {
				done(done, Duration.ofMillis(this.timers.now() - began));
				return;
			}
			this.timers.schedule(this.pauses.nextDelay(), this::append);
		});
	}

	private void done(Store.AppendResult.Success done, Duration took) {
		this.pauses.reset();
		List<T> items = this.inFlight.stream().map(QueuedRecord::item).toList();
		this.inFlight = List.of();
		this.stored.stored(items, done.offset(), took);
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
	private record QueuedRecord<T>(T item, byte[] encoded, long since) {

	}

}
