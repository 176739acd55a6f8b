package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Consumes a compacted topic: reads a snapshot of the latest record of each key, then
 * polls for changes. A failed read is repeated, so that no change is missed. After
 * deleted records it starts over with a new snapshot, since a change may have been
 * deleted before it was read, and after many failed reads as well, in case one offset
 * can't be read. Stale responses are ignored: the end offset never decreases, and a
 * record replaces only one with a lower offset. Reading continues after a listener has
 * failed. Used by the event loop's thread.
 */
public final class CompactedTopicConsumer {

	/**
	 * The maximum time that a read waits for a change. It bounds the time to detect a
	 * connection that stopped responding, far below the time in which a configuration has
	 * to be applied.
	 */
	private static final Duration READ_WAIT = Duration.ofMillis(1000);

	/**
	 * The number of consecutive failed reads after which a snapshot is read. More than a
	 * short outage causes, since a snapshot may hide changes.
	 */
	private static final int MAX_FAILED_READS = 8;

	private final Store store;

	private final Timers timers;

	private final Topic topic;

	private final Listener listener;

	private final Consumer<Boolean> callListener;

	private final Consumer<Throwable> errorListener;

	private final RetryBackoff backoff;

	private final Map<String, Long> offsets = new HashMap<>();

	private long nextOffset = -1;

	private int failedReads;

	private List<Runnable> confirmations = new ArrayList<>();

	private boolean confirming;

	/**
	 * Creates a consumer.
	 * @param store the store
	 * @param timers schedules retries
	 * @param random the source of retry jitter
	 * @param topic a compacted topic
	 * @param listener receives snapshots and changes
	 * @param callListener receives whether each call to the store succeeded
	 * @param errorListener receives what the listener throws
	 */
	public CompactedTopicConsumer(Store store, Timers timers, RandomGenerator random, Topic topic, Listener listener,
			Consumer<Boolean> callListener, Consumer<Throwable> errorListener) {
		this.errorListener = errorListener;
		this.store = store;
		this.timers = timers;
		this.topic = topic;
		this.listener = listener;
		this.callListener = callListener;
		this.backoff = new RetryBackoff(random);
	}

	/**
	 * Starts consuming.
	 */
	public void start() {
		this.store.readLatest(this.topic, this::handleLatest);
	}

	private void handleLatest(Store.LatestResult result) {
		this.callListener.accept(result instanceof Store.LatestResult.Records);
		switch (result) {
			case Store.LatestResult.Failed ignored -> snapshotFailed();
			case Store.LatestResult.Records records -> {
				if (records.endOffset() < this.nextOffset) {
					restartAfterBackoff();
					return;
				}
				this.backoff.reset();
				this.failedReads = 0;
				if (this.nextOffset >= 0) {
					notifyListener(this.listener::changesMissed);
				}
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
		notifyListener(() -> this.listener.snapshotRead(values));
	}

	private void read() {
		this.store.read(this.topic, this.nextOffset, READ_WAIT, this::handle);
	}

	private void handle(Store.ReadResult result) {
		this.callListener.accept(!(result instanceof Store.ReadResult.Failed));
		switch (result) {
			case Store.ReadResult.Failed ignored -> readAfterBackoff();
			case Store.ReadResult.Deleted ignored -> start();
			case Store.ReadResult.Records records -> {
				this.backoff.reset();
				this.failedReads = 0;
				apply(records);
				read();
			}
		}
	}

	private void apply(Store.ReadResult.Records records) {
		records.records().forEach(this::handle);
		this.nextOffset = Math.max(this.nextOffset, records.nextOffset());
	}

	/**
	 * Reads up to the current end without waiting for changes. The read in flight does
	 * not count, since its response may date from before this call.
	 * @param callback runs once all changes before this call have been handled; never if
	 * the read fails
	 */
	public void confirm(Runnable callback) {
		this.confirmations.add(callback);
		confirmPending();
	}

	private void confirmPending() {
		if (this.confirming || this.confirmations.isEmpty()) {
			return;
		}
		List<Runnable> covered = this.confirmations;
		this.confirmations = new ArrayList<>();
		if (this.nextOffset >= 0) {
			this.confirming = true;
			this.store.read(this.topic, this.nextOffset, Duration.ZERO, (result) -> confirm(result, covered));
		}
	}

	private void confirm(Store.ReadResult result, List<Runnable> covered) {
		this.confirming = false;
		this.callListener.accept(!(result instanceof Store.ReadResult.Failed));
		if (result instanceof Store.ReadResult.Records records) {
			apply(records);
			if (records.nextOffset() >= records.endOffset()) {
				covered.forEach(this::notifyListener);
			}
			else {
				this.confirmations.addAll(covered);
			}
		}
		confirmPending();
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
		notifyListener(() -> this.listener.recordChanged(key, item.value()));
	}

	// The records are another writer's, and an exception would end the reading for good.
	private void notifyListener(Runnable notification) {
		try {
			notification.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.errorListener.accept(ex);
		}
	}

	private void readAfterBackoff() {
		this.failedReads++;
		boolean snapshot = this.failedReads % MAX_FAILED_READS == 0;
		this.timers.schedule(this.backoff.nextDelay(), snapshot ? this::start : this::read);
	}

	private void snapshotFailed() {
		if (this.failedReads > 0) {
			readAfterBackoff();
			return;
		}
		restartAfterBackoff();
	}

	private void restartAfterBackoff() {
		this.timers.schedule(this.backoff.nextDelay(), this::start);
	}

	/**
	 * Receives snapshots and changes. Used by the event loop's thread.
	 */
	public interface Listener {

		/**
		 * Called with the latest record of each key; other keys have been deleted.
		 * @param values the values by key
		 */
		void snapshotRead(Map<String, byte[]> values);

		/**
		 * Called with the latest record of one key.
		 * @param key the key
		 * @param value the value; empty if the key was deleted
		 */
		void recordChanged(String key, Optional<byte[]> value);

		/**
		 * Called before a snapshot if changes before it may have been missed.
		 */
		default void changesMissed() {
		}

	}

}
