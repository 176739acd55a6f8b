package io.lentilslip.relay.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompactedTopicConsumerTests {

	private static final String FAILING = "failing";

	private static final String OVERFLOWING = "overflowing";

	private final FakeStore store = new FakeStore();

	private final Map<String, String> values = new TreeMap<>();

	private final List<Throwable> errors = new ArrayList<>();

	private final List<String> changedKeys = new ArrayList<>();

	private final List<String> confirmed = new ArrayList<>();

	private int gaps;

	private final CompactedTopicConsumer consumer = new CompactedTopicConsumer(this.store, this.store,
			new SplittableRandom(1), Topic.UPSTREAMS, new RecordingListener(), (succeeded) -> {
			}, this.errors::add);

	@Test
	void changesAfterTheSnapshotAreApplied() {
		answerSnapshot(3, storedRecord(0, "a", "1"), storedRecord(2, "b", "2"));
		assertThat(this.store.readOffsets).containsExactly(3L);
		answerRead(5, storedRecord(3, "a", "3"), tombstone(4, "b"));
		assertThat(this.values).containsExactly(Map.entry("a", "3"));
		assertThat(this.store.readOffsets).containsExactly(3L, 5L);
	}

	// A read may return records older than the snapshot. Applying them would restore
	// removed upstreams.
	@Test
	void olderRecordIsIgnored() {
		answerSnapshot(2, storedRecord(7, "a", "new"));
		answerRead(4, storedRecord(2, "a", "old"));
		assertThat(this.values).containsExactly(Map.entry("a", "new"));
	}

	// After records were deleted unread, a new snapshot must be read, and keys missing
	// from it must be removed.
	@Test
	void snapshotReplacesDeletedRecords() {
		answerSnapshot(1, storedRecord(0, "a", "1"), storedRecord(0, "b", "1"));
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Deleted(9));
		answerSnapshot(9, storedRecord(8, "a", "2"));
		assertThat(this.values).containsExactly(Map.entry("a", "2"));
	}

	// After an outage the store may return stale data. It must be read again without
	// discarding newer values.
	@Test
	void staleResponseIsIgnored() {
		answerSnapshot(5, storedRecord(4, "a", "new"));
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Deleted(5));
		answerSnapshot(3, storedRecord(2, "a", "old"));
		assertThat(this.values).containsExactly(Map.entry("a", "new"));
		this.store.advance(1000);
		answerSnapshot(5, storedRecord(4, "a", "new"));
		assertThat(this.store.readOffsets).containsExactly(5L, 5L);
	}

	// Guards against a relay that stops following the upstreams because of one record.
	@Test
	void readingContinuesAfterAListenerFails() {
		answerSnapshot(3, storedRecord(0, "a", "1"), storedRecord(2, "b", FAILING));
		answerRead(6, storedRecord(3, "c", FAILING), storedRecord(4, "d", OVERFLOWING), storedRecord(5, "e", "2"));
		answerRead(7, storedRecord(6, "f", "3"));
		assertThat(this.values).containsEntry("e", "2").containsEntry("f", "3");
		assertThat(this.store.readOffsets).containsExactly(3L, 6L, 7L);
		assertThat(this.errors).hasSize(3);
	}

	// Guards against changes during an outage that a snapshot does not show: a key that
	// was set and deleted again.
	@Test
	void changesDuringAFailedReadAreNotSkipped() {
		answerSnapshot(5, storedRecord(4, "a", "1"));
		failRead();
		assertThat(this.store.readOffsets).containsExactly(5L, 5L);
		answerRead(7, storedRecord(5, "b", "1"), tombstone(6, "b"));
		assertThat(this.changedKeys).containsExactly("a", "b", "b");
		assertThat(this.gaps).isZero();
	}

	// Guards against an offset that can't be read, at which the consumer would stop.
	@Test
	void snapshotIsReadAfterManyFailedReads() {
		answerSnapshot(5, storedRecord(4, "a", "1"));
		while (this.store.latestCallbacks.isEmpty()) {
			failRead();
		}
		assertThat(this.store.readOffsets).hasSizeGreaterThan(4);
		this.store.latestCallbacks.poll().accept(new Store.LatestResult.Failed("no response"));
		this.store.advance(1000);
		failRead();
		while (this.store.latestCallbacks.isEmpty()) {
			failRead();
		}
		answerSnapshot(9, storedRecord(8, "a", "2"));
		assertThat(this.values).containsExactly(Map.entry("a", "2"));
		assertThat(this.gaps).isOne();
	}

	@Test
	void missedChangesAreReportedBeforeTheSnapshot() {
		answerSnapshot(1, storedRecord(0, "a", "1"));
		assertThat(this.gaps).isZero();
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Deleted(9));
		answerSnapshot(9, storedRecord(8, "a", "2"));
		assertThat(this.gaps).isOne();
	}

	// Guards against a response that dates from before the request for it.
	@Test
	void confirmationFollowsAReadThatBeganAfterIt() {
		answerSnapshot(1, storedRecord(0, "a", "1"));
		confirm("first");
		confirm("second");
		Consumer<Store.ReadResult> waiting = this.store.readCallbacks.poll();
		answerRead(2, storedRecord(1, "a", "2"));
		assertThat(this.confirmed).containsExactly("first");
		assertThat(this.values).containsExactly(Map.entry("a", "2"));
		answerRead(2);
		assertThat(this.confirmed).containsExactly("first", "second");
		waiting.accept(new Store.ReadResult.Records(List.of(storedRecord(1, "a", "2")), 2, 2));
		assertThat(this.store.readOffsets).containsExactly(1L, 1L, 2L, 2L);
	}

	@Test
	void confirmationFollowsTheLastOfSeveralReads() {
		answerSnapshot(1, storedRecord(0, "a", "1"));
		this.store.readCallbacks.poll();
		confirm("first");
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(List.of(storedRecord(1, "a", "2")), 2, 3));
		assertThat(this.confirmed).isEmpty();
		answerRead(3, storedRecord(2, "b", "1"));
		assertThat(this.confirmed).containsExactly("first");
	}

	@Test
	void failedConfirmationIsDropped() {
		confirm("before the snapshot");
		answerSnapshot(1, storedRecord(0, "a", "1"));
		this.store.readCallbacks.poll();
		confirm("first");
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Failed("no response"));
		confirm("second");
		answerRead(1);
		assertThat(this.confirmed).containsExactly("second");
	}

	private void confirm(String name) {
		this.consumer.confirm(() -> this.confirmed.add(name));
	}

	private void failRead() {
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Failed("no response"));
		this.store.advance(1000);
	}

	private void answerSnapshot(long endOffset, Store.StoredRecord... records) {
		if (this.store.latestCallbacks.isEmpty()) {
			this.consumer.start();
		}
		this.store.latestCallbacks.poll().accept(new Store.LatestResult.Records(List.of(records), endOffset));
	}

	private void answerRead(long nextOffset, Store.StoredRecord... records) {
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(List.of(records), nextOffset, nextOffset));
	}

	private static Store.StoredRecord storedRecord(long offset, String key, String value) {
		return new Store.StoredRecord(offset, Optional.of(key), Optional.of(value.getBytes(StandardCharsets.UTF_8)));
	}

	private static Store.StoredRecord tombstone(long offset, String key) {
		return new Store.StoredRecord(offset, Optional.of(key), Optional.empty());
	}

	/**
	 * Records what the listener receives. Used by one thread.
	 */
	private final class RecordingListener implements CompactedTopicConsumer.Listener {

		@Override
		public void snapshotRead(Map<String, byte[]> values) {
			CompactedTopicConsumerTests.this.values.clear();
			values.forEach((key, value) -> recordChanged(key, Optional.of(value)));
		}

		@Override
		public void recordChanged(String key, Optional<byte[]> value) {
			CompactedTopicConsumerTests.this.changedKeys.add(key);
			CompactedTopicConsumerTests.this.values.remove(key);
			String text = value.map((bytes) -> new String(bytes, StandardCharsets.UTF_8)).orElse("");
			if (text.equals(FAILING)) {
				throw new ArithmeticException();
			}
			if (text.equals(OVERFLOWING)) {
				throw new StackOverflowError();
			}
			value.ifPresent((bytes) -> CompactedTopicConsumerTests.this.values.put(key,
					new String(bytes, StandardCharsets.UTF_8)));
		}

		@Override
		public void changesMissed() {
			CompactedTopicConsumerTests.this.gaps++;
		}

	}

}
