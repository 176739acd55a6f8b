package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows the newest record of each key of a topic. It begins with all of them, waits for
 * changes, and begins anew whenever a read fails or records are missing, since a change
 * may have been deleted before it was read. What a stale answer says is not taken: the
 * end of the topic never goes back, and of a key only a later record counts. Used by the
 * event loop's thread.
 */
public final class CompactedTopicConsumer {

	/**
	 * How long a read waits for a change. A connection that has gone silent is found out
	 * after this and the store's time to answer, well within the bound of a change.
	 */
	private static final Duration READ_WAIT = Duration.ofMillis(1000);

	private final Store store;

	private final Timers timers;

	private final Topic topic;

	private final Listener listener;

	private final Consumer<Boolean> callListener;

	private final RetryBackoff backoff;

	private final Map<String, Long> offsets = new HashMap<>();

	private long nextOffset = -1;

	/**
	 * Creates a follower.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param topic a topic with keys
	 * @param listener takes what was read
	 * @param callListener takes whether the store answered a call as it should
	 */
	public CompactedTopicConsumer(Store store, Timers timers, RandomGenerator random, Topic topic, Listener listener,
			Consumer<Boolean> callListener) {
		this.store = store;
		this.timers = timers;
		this.topic = topic;
		this.listener = listener;
		this.callListener = callListener;
		this.backoff = new RetryBackoff(random);
	}

	/**
	 * Begins to follow.
	 */
	public void start() {
		this.store.readLatest(this.topic, this::handleLatest);
	}

	private void handleLatest(Store.LatestResult outcome) {
		this.callListener.accept(outcome instanceof Store.LatestResult.Records);
		switch (outcome) {
			case Store.LatestResult.Failed ignored -> restartAfterBackoff();
			case Store.LatestResult.Records records -> {
				if (records.endOffset() < this.nextOffset) {
					restartAfterBackoff();
					return;
				}
				this.backoff.reset();
				applySnapshot(records);
				this.nextOffset = records.endOffset();
				read();
			}
		}
	}

	private void applySnapshot(Store.LatestResult.Records records) {
		Map<String, byte[]> values = new HashMap<>();
		for (Store.StoredRecord item : records.records()) {
			item.key().ifPresent((key) -> {
				this.offsets.merge(key, item.offset(), Math::max);
				item.value().ifPresent((value) -> values.put(key, value));
			});
		}
		this.offsets.keySet().retainAll(values.keySet());
		this.listener.snapshotRead(values);
	}

	private void read() {
		this.store.read(this.topic, this.nextOffset, READ_WAIT, this::handle);
	}

	private void handle(Store.ReadResult outcome) {
		this.callListener.accept(!(outcome instanceof Store.ReadResult.Failed));
		switch (outcome) {
			case Store.ReadResult.Failed ignored -> restartAfterBackoff();
			case Store.ReadResult.Deleted ignored -> start();
			case Store.ReadResult.Records records -> {
				records.records().forEach(this::handle);
				this.nextOffset = records.nextOffset();
				read();
			}
		}
	}

	private void handle(Store.StoredRecord item) {
		if (item.key().isEmpty()) {
			return;
		}
		String key = item.key().get();
		if (this.offsets.getOrDefault(key, -1L) >= item.offset()) {
			return;
		}
		this.offsets.put(key, item.offset());
		this.listener.recordChanged(key, item.value());
	}

	private void restartAfterBackoff() {
		this.timers.schedule(this.backoff.nextDelay(), this::start);
	}

	/**
	 * Takes what a follower read. Used by the event loop's thread.
	 */
	public interface Listener {

		/**
		 * The newest records of all keys; keys that are missing are dropped.
		 * @param values the values by key
		 */
		void snapshotRead(Map<String, byte[]> values);

		/**
		 * The newest record of one key.
		 * @param key the key
		 * @param value the value; empty if the key is dropped
		 */
		void recordChanged(String key, Optional<byte[]> value);

	}

}
