package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Writes the texts of turns to this relay's partition of the store, each at once. The
 * callers of their turns wait for their ends, so that what waits is bounded by what
 * callers wait for. Used by the event loop's thread.
 */
public final class TextWriter {

	/**
	 * The most bytes that wait: some times what a relay is given in the seconds that
	 * callers wait for an end.
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
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param partition the partition to which texts are written
	 * @param listener takes what the store has
	 * @param dropListener takes how many texts wait no longer, at each write that drops
	 * any
	 */
	public TextWriter(Store store, Timers timers, RandomGenerator random, int partition, Listener listener,
			IntConsumer dropListener) {
		this.store = store;
		this.timers = timers;
		this.partition = partition;
		this.listener = listener;
		this.backoff = new RetryBackoff(random);
		this.queue = new AppendQueue<>((records, then) -> store.appendTexts(partition, records, then),
				(encoded, waited) -> encoded, timers, random, MAX_QUEUED_BYTES,
				(turns, offset, took) -> listener.stored(Set.copyOf(turns), offset + turns.size(), took), (well) -> {
					// A partition of the texts says nothing of the one that the order of
					// turns is read
					// from: only that decides what this relay reaches.
				}, dropListener);
	}

	/**
	 * Asks where the partition ends, before anything is written: whoever reads a text is
	 * told to look from there on.
	 */
	public void start() {
		readEndOffset(0);
	}

	private void readEndOffset(long from) {
		this.store.readTexts(this.partition, from, 0, (outcome) -> {
			switch (outcome) {
				case Store.ReadResult.Records records ->
					this.listener.stored(Set.of(), records.endOffset(), Duration.ZERO);
				case Store.ReadResult.Deleted deleted -> readEndOffset(deleted.firstOffset());
				case Store.ReadResult.Failed ignored ->
					this.timers.schedule(this.backoff.nextDelay(), () -> readEndOffset(from));
			}
		});
	}

	/**
	 * Takes a text.
	 * @param turn the turn
	 */
	public void write(TurnText turn) {
		this.queue.add(turn.request(), RelayCodec.encode(turn));
		this.queue.flush();
	}

	/**
	 * Returns how many texts wait.
	 * @return the number
	 */
	public int size() {
		return this.queue.size();
	}

	/**
	 * Takes what the store has. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Texts are in the store.
		 * @param requests the turns whose texts they are
		 * @param end where the partition ends now
		 * @param took how long the store took
		 */
		void stored(Set<String> requests, long end, Duration took);

	}

}
