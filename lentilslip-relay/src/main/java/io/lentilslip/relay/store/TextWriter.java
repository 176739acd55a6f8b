package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Appends the texts of turns to this relay's partition of the store without batching
 * delay. The callers of these turns wait for the append, which limits the queued data.
 * Used by the event loop's thread.
 */
public final class TextWriter {

	/**
	 * The maximum total size of queued texts. Exceeds the texts that a relay receives
	 * while callers wait for the end of their responses.
	 */
	private static final long MAX_QUEUED_BYTES = 16L * 1024 * 1024;

	private final Store store;

	private final Timers timers;

	private final int partition;

	private final Listener listener;

	private final RetryBackoff backoff;

	private final AppendQueue<String> queue;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers schedules retries
	 * @param random the source of retry jitter
	 * @param partition the partition to which texts are appended
	 * @param listener notified of stored texts
	 * @param dropListener receives the number of texts whenever some are dropped
	 */
	public TextWriter(Store store, Timers timers, RandomGenerator random, int partition, Listener listener,
			IntConsumer dropListener) {
		this.store = store;
		this.timers = timers;
		this.partition = partition;
		this.listener = listener;
		this.backoff = new RetryBackoff(random);
		this.queue = new AppendQueue<>((records, callback) -> store.appendTexts(partition, records, callback),
				(encoded, delay) -> encoded, timers, random, MAX_QUEUED_BYTES,
				(turns, offset, latency) -> listener.stored(Set.copyOf(turns), offset + turns.size(), latency),
				(succeeded) -> {
					// The availability of a text partition does not affect connectivity,
					// which depends on the log alone.
				}, dropListener);
	}

	/**
	 * Reads the end offset of the partition before the first write; readers start their
	 * search for a text from it.
	 */
	public void start() {
		readEndOffset(0);
	}

	private void readEndOffset(long minOffset) {
		this.store.readTexts(this.partition, minOffset, 0, (result) -> {
			switch (result) {
				case Store.ReadResult.Records records ->
					this.listener.stored(Set.of(), records.endOffset(), Duration.ZERO);
				case Store.ReadResult.Deleted deleted -> readEndOffset(deleted.firstOffset());
				case Store.ReadResult.Failed ignored ->
					this.timers.schedule(this.backoff.nextDelay(), () -> readEndOffset(minOffset));
			}
		});
	}

	/**
	 * Queues a text to be appended.
	 * @param turn the turn and its text
	 */
	public void write(TurnText turn) {
		this.queue.add(turn.request(), RelayCodec.encode(turn));
		this.queue.flush();
	}

	/**
	 * Returns the number of queued texts.
	 * @return the number
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Notified of stored texts. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called when the store has acknowledged texts, and with the initial end offset.
		 * @param requests the ids of the requests whose texts were stored
		 * @param endOffset the end offset of the partition
		 * @param latency the latency of the append
		 */
		void stored(Set<String> requests, long endOffset, Duration latency);

	}

}
