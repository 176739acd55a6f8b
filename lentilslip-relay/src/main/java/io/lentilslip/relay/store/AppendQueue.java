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

	private final Appending appending;

	private final Stamp stamp;

	private final Timers timers;

	private final Pauses pauses;

	private final long bound;

	private final Stored<T> stored;

	private final Consumer<Boolean> health;

	private final IntConsumer givenUp;

	private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

	private List<Waiting<T>> underWay = List.of();

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
	AppendQueue(Appending appending, Stamp stamp, Timers timers, RandomGenerator random, long bound, Stored<T> stored,
			Consumer<Boolean> health, IntConsumer givenUp) {
		this.appending = appending;
		this.stamp = stamp;
		this.timers = timers;
		this.pauses = new Pauses(random);
		this.bound = bound;
		this.stored = stored;
		this.health = health;
		this.givenUp = givenUp;
	}

	/**
	 * Takes a record, which waits until {@link #call()} or the end of the call under way.
	 * @param item what the record stands for
	 * @param encoded its bytes
	 */
	void add(T item, byte[] encoded) {
		this.waiting.add(new Waiting<>(item, encoded, this.timers.now()));
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
	List<T> unconfirmed() {
		return Stream.concat(this.underWay.stream(), this.waiting.stream()).map(Waiting::item).toList();
	}

	boolean calling() {
		return !this.underWay.isEmpty();
	}

	/**
	 * Appends what waits, unless a call is under way.
	 */
	void call() {
		if (calling() || this.waiting.isEmpty()) {
			return;
		}
		List<Waiting<T>> batch = new ArrayList<>();
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
		this.underWay = batch;
		append();
	}

	private void append() {
		long began = this.timers.now();
		List<byte[]> records = new ArrayList<>();
		for (Waiting<T> next : this.underWay) {
			records.add(this.stamp.stamp(next.encoded(), Duration.ofMillis(began - next.since())));
		}
		this.appending.append(records, (outcome) -> {
			this.health.accept(outcome instanceof Store.Appended.Done);
			if (outcome instanceof Store.Appended.Done done) {
				done(done, Duration.ofMillis(this.timers.now() - began));
				return;
			}
			this.timers.after(this.pauses.next(), this::append);
		});
	}

	private void done(Store.Appended.Done done, Duration took) {
		this.pauses.reset();
		List<T> items = this.underWay.stream().map(Waiting::item).toList();
		this.underWay = List.of();
		this.stored.stored(items, done.offset(), took);
		call();
	}

	/**
	 * Appends records to a partition. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface Appending {

		/**
		 * Appends records, all or none.
		 * @param records the records
		 * @param then takes the outcome
		 */
		void append(List<byte[]> records, Consumer<Store.Appended> then);

	}

	/**
	 * Puts into a record how long it waited. Used by the event loop's thread.
	 */
	@FunctionalInterface
	interface Stamp {

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
	interface Stored<T> {

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
	private record Waiting<T>(T item, byte[] encoded, long since) {

	}

}
