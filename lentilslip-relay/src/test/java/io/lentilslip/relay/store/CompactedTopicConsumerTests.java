package io.lentilslip.relay.store;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompactedTopicConsumerTests {

	private final FakeStore store = new FakeStore();

	private final Map<String, String> seen = new TreeMap<>();

	private final CompactedTopicConsumer follower = new CompactedTopicConsumer(this.store, this.store,
			new SplittableRandom(1), Topic.UPSTREAMS, new Seen(), (well) -> {
			});

	@Test
	void changesAfterTheNewestAreTaken() {
		begin(3, kept(0, "a", "1"), kept(2, "b", "2"));
		assertThat(this.store.reads).containsExactly(3L);
		read(5, kept(3, "a", "3"), dropped(4, "b"));
		assertThat(this.seen).containsExactly(Map.entry("a", "3"));
		assertThat(this.store.reads).containsExactly(3L, 5L);
	}

	// A read of a topic still shows a record that the newest values have gone past. Taken
	// again, an upstream that has left would come back.
	@Test
	void recordBeforeTheKnownOneIsNotTaken() {
		begin(2, kept(7, "a", "new"));
		read(4, kept(2, "a", "old"));
		assertThat(this.seen).containsExactly(Map.entry("a", "new"));
	}

	// The store deletes records that were not read yet. All keys are read anew, and one
	// that was dropped meanwhile is gone.
	@Test
	void deletedRecordsAreMadeUpForByTheNewest() {
		begin(1, kept(0, "a", "1"), kept(0, "b", "1"));
		this.store.readAnswers.poll().accept(new Store.ReadResult.Deleted(9));
		begin(9, kept(8, "a", "2"));
		assertThat(this.seen).containsExactly(Map.entry("a", "2"));
	}

	// After an outage the store answers from an older state for a moment. It is asked
	// again, and what is known stays.
	@Test
	void staleAnswerChangesNothing() {
		begin(5, kept(4, "a", "new"));
		this.store.readAnswers.poll().accept(new Store.ReadResult.Failed("no answer"));
		this.store.pass(1000);
		begin(3, kept(2, "a", "old"));
		assertThat(this.seen).containsExactly(Map.entry("a", "new"));
		this.store.pass(1000);
		begin(5, kept(4, "a", "new"));
		assertThat(this.store.reads).containsExactly(5L, 5L);
	}

	private void begin(long end, Store.StoredRecord... records) {
		if (this.store.newestAnswers.isEmpty()) {
			this.follower.start();
		}
		this.store.newestAnswers.poll().accept(new Store.LatestResult.Records(List.of(records), end));
	}

	private void read(long next, Store.StoredRecord... records) {
		this.store.readAnswers.poll().accept(new Store.ReadResult.Records(List.of(records), next, next));
	}

	private static Store.StoredRecord kept(long offset, String key, String value) {
		return new Store.StoredRecord(offset, Optional.of(key), Optional.of(value.getBytes(StandardCharsets.UTF_8)));
	}

	private static Store.StoredRecord dropped(long offset, String key) {
		return new Store.StoredRecord(offset, Optional.of(key), Optional.empty());
	}

	/**
	 * Keeps what was read. Used by one thread.
	 */
	private final class Seen implements CompactedTopicConsumer.Listener {

		@Override
		public void snapshotRead(Map<String, byte[]> values) {
			CompactedTopicConsumerTests.this.seen.clear();
			values.forEach((key, value) -> recordChanged(key, Optional.of(value)));
		}

		@Override
		public void recordChanged(String key, Optional<byte[]> value) {
			CompactedTopicConsumerTests.this.seen.remove(key);
			value.ifPresent((bytes) -> CompactedTopicConsumerTests.this.seen.put(key,
					new String(bytes, StandardCharsets.UTF_8)));
		}

	}

}
