package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryReaderTests {

	private final FakeStore store = new FakeStore();

	private final List<LedgerEntry> entries = new ArrayList<>();

	private int caughtUpCount;

	private Optional<Duration> idle = Optional.empty();

	private boolean isolated;

	private boolean failing;

	private final List<Throwable> errors = new ArrayList<>();

	private final List<Long> endReads = new ArrayList<>();

	private final EntryReader reader = new EntryReader(this.store, this.store, new SplittableRandom(1),
			new RecordingListener(), (offset, duration, idleTime) -> {
				this.caughtUpCount++;
				this.idle = idleTime;
			}, (succeeded) -> {
			}, () -> this.isolated, this.errors::add);

	@Test
	void entriesAreReadUpToTheEndWithoutDelay() {
		this.reader.read();
		answer(1, 2, settled("r1"));
		assertThat(this.caughtUpCount).isZero();
		answer(2, 2, settled("r2"));
		assertThat(this.caughtUpCount).isEqualTo(1);
		assertThat(this.entries).hasSize(2);
		assertThat(this.store.readOffsets).containsExactly(0L, 1L);
	}

	// Guards against an end that a read reached that was sent before what it is to show.
	@Test
	void endOfTheLogIsReportedWithTheTimeOfTheReadThatReachedIt() {
		this.store.advance(10);
		this.reader.read();
		this.store.advance(20);
		answer(1, 2, settled("r1"));
		assertThat(this.endReads).isEmpty();
		this.reader.read();
		this.store.advance(20);
		answer(2, 2, settled("r2"));
		assertThat(this.endReads).containsExactly(30L);
		answer(2, 2);
		assertThat(this.endReads).containsExactly(30L, 50L);
	}

	// While most links are down, the log is the only source of other relays' entries and
	// must be polled more often.
	@Test
	void logIsPolledMoreOftenWhileIsolated() {
		this.reader.read();
		answer(0, 0);
		this.store.advance(100);
		assertThat(this.store.readOffsets).hasSize(1);
		this.store.advance(400);
		assertThat(this.store.readOffsets).hasSize(2);
		this.isolated = true;
		answer(0, 0);
		this.store.advance(100);
		assertThat(this.store.readOffsets).hasSize(3);
	}

	// The response to a read that began before a pause may be as old as the pause. Only a
	// later read may complete a catch-up.
	@Test
	void readBeforeAPauseDoesNotCompleteCatchUp() {
		this.reader.read();
		answer(0, 0);
		this.store.advance(500);
		this.reader.catchUp();
		answer(0, 0);
		assertThat(this.caughtUpCount).isEqualTo(1);
		answer(1, 1, settled("r1"));
		assertThat(this.caughtUpCount).isEqualTo(2);
	}

	// All relays were lost in an outage, and others restarted before this one. Their
	// recent entries must not hide the outage, or budgets granted during it would be
	// granted again.
	@Test
	void idleTimeIncludesAnOutageBeforeRecentWrites() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(1, 3, List.of(written("r1", now - 9_000)));
		answer(3, 3, List.of(written("r2", now - 500), written("r3", now - 100)));
		assertThat(this.idle).contains(Duration.ofMillis(8_500));
	}

	// The outage ended just before all relays were lost, and only one of them had
	// appended its queued entries. Only their append delays show the outage.
	@Test
	void idleTimeIncludesAnOutageThatJustEnded() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(3, 3, List.of(written("r1", now - 6_500), delayed("r2", now - 6_200, 4_700),
				delayed("r3", now - 3_000, 1_500)));
		assertThat(this.idle).contains(Duration.ofMillis(4_700));
	}

	@Test
	void idleTimeExcludesAnOutageAfterTheBacklogWasFlushed() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(5, 5, List.of(written("r1", now - 9_000), delayed("r2", now - 8_000, 4_000), written("r3", now - 5_900),
				written("r4", now - 3_600), written("r5", now - 1_900)));
		assertThat(this.idle).contains(Duration.ofMillis(2_300));
	}

	@Test
	void idleTimeOfAnActiveLogIsTheAgeOfItsLatestEntry() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(2, 2, List.of(written("r1", now - 900), written("r2", now - 700)));
		assertThat(this.idle).contains(Duration.ofMillis(700));
	}

	// Guards against a log that is never read again because of one entry.
	@Test
	void readingContinuesAfterAListenerFails() {
		this.failing = true;
		this.reader.read();
		answer(1, 2, settled("r1"));
		answer(2, 2, settled("r2"));
		this.failing = false;
		this.store.advance(1000);
		answer(3, 3, settled("r3"));
		assertThat(this.store.readOffsets).containsExactly(0L, 1L, 2L);
		assertThat(this.entries).extracting(LedgerEntry::request).containsExactly("r3");
		assertThat(this.errors).hasSize(2);
		assertThat(this.endReads).hasSize(1);
	}

	@Test
	void deletedEntriesAreSkipped() {
		this.reader.read();
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Deleted(7));
		assertThat(this.store.readOffsets).containsExactly(0L, 7L);
	}

	@Test
	void failedReadIsRetriedAfterADelay() {
		this.reader.read();
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Failed("no response"));
		assertThat(this.store.readOffsets).hasSize(1);
		this.store.advance(1000);
		assertThat(this.store.readOffsets).containsExactly(0L, 0L);
	}

	private void answer(long nextOffset, long endOffset, LedgerEntry... entries) {
		answer(nextOffset, endOffset, Stream.of(entries).map(RelayCodec::encode).toList());
	}

	private void answer(long nextOffset, long endOffset, List<byte[]> entries) {
		List<Store.StoredRecord> records = new ArrayList<>();
		for (byte[] entry : entries) {
			records.add(new Store.StoredRecord(nextOffset - 1, Optional.empty(), Optional.of(entry)));
		}
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(records, nextOffset, endOffset));
	}

	private static byte[] written(String request, long writtenAt) {
		return RelayCodec.encode(settled(request), writtenAt);
	}

	private static byte[] delayed(String request, long writtenAt, long delayMillis) {
		return RelayCodec.withAppendDelay(written(request, writtenAt), Duration.ofMillis(delayMillis));
	}

	private static LedgerEntry settled(String request) {
		return new LedgerEntry.Settled(RunId.unnumbered(request), "p", 1, Optional.empty());
	}

	/**
	 * Records what the listener receives. Used by one thread.
	 */
	private final class RecordingListener implements EntryReader.EntryListener {

		@Override
		public void entriesRead(List<LedgerEntry> read, List<Duration> ages) {
			if (EntryReaderTests.this.failing) {
				throw new ArithmeticException();
			}
			EntryReaderTests.this.entries.addAll(read);
		}

		@Override
		public void endRead(long sentAt) {
			EntryReaderTests.this.endReads.add(sentAt);
		}

	}

}
