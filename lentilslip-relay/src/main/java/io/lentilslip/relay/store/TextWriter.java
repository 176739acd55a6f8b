package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.RunId;
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

	private final int maxRecordBytes;

	private final AppendQueue<Part> queue;

	/**
	 * The lowest offset of the parts of a text whose last part is not stored; negative if
	 * there is none.
	 */
	private long incompleteFrom = -1;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers schedules retries
	 * @param random the source of retry jitter
	 * @param partition the partition to which texts are appended
	 * @param maxRecordBytes the maximum size of a record of the store
	 * @param listener notified of stored texts
	 * @param dropListener receives the number of texts whenever some are dropped
	 */
	public TextWriter(Store store, Timers timers, RandomGenerator random, int partition, int maxRecordBytes,
			Listener listener, IntConsumer dropListener) {
		this.store = store;
		this.timers = timers;
		this.partition = partition;
		this.maxRecordBytes = maxRecordBytes;
		this.listener = listener;
		this.backoff = new RetryBackoff(random);
		this.queue = new AppendQueue<>((records, callback) -> store.appendTexts(partition, records, callback),
				(encoded, delay) -> encoded, timers, random, MAX_QUEUED_BYTES, this::stored, (succeeded) -> {
					// The availability of a text partition does not affect connectivity,
					// which depends on the log alone.
				}, dropListener, (before, next) -> next.index() > 0 && next.run().equals(before.run()));
	}

	private void stored(List<Part> parts, long offset, Duration latency) {
		Set<RunId> complete = new HashSet<>();
		parts.stream().filter(Part::last).forEach((part) -> complete.add(part.run()));
		long from = (this.incompleteFrom >= 0) ? this.incompleteFrom : offset;
		this.incompleteFrom = parts.getLast().last() ? -1 : from;
		this.listener.stored(complete, from, offset + parts.size(), latency);
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
					this.listener.stored(Set.of(), records.endOffset(), records.endOffset(), Duration.ZERO);
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
		List<byte[]> records = RelayCodec.encodeRecords(turn, this.maxRecordBytes);
		for (int i = 0; i < records.size(); i++) {
			this.queue.add(new Part(turn.run(), i, i == records.size() - 1), records.get(i));
		}
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
		 * @param runs the turns whose texts were stored
		 * @param firstOffset the lowest offset of a part of these texts
		 * @param endOffset the end offset of the partition
		 * @param latency the latency of the append
		 */
		void stored(Set<RunId> runs, long firstOffset, long endOffset, Duration latency);

	}

	/**
	 * A record of a text. Immutable.
	 *
	 * @param run the run of the turn
	 * @param index the number of the part
	 * @param last whether it is the last part
	 */
	private record Part(RunId run, int index, boolean last) {

	}

}
