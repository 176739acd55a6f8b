package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryReaderTests {

	private final FakeStore store = new FakeStore();

	private final List<LedgerEntry> read = new ArrayList<>();

	private int caughtUp;

	private Optional<Duration> age = Optional.empty();

	private boolean alone;

	private final EntryReader reader = new EntryReader(this.store, this.store, new SplittableRandom(1),
			this.read::addAll, (offset, took, age) -> {
				this.caughtUp++;
				this.age = age;
			}, (well) -> {
			}, () -> this.alone);

	@Test
	void entriesAreReadUpToTheEndWithoutAPause() {
		this.reader.read();
		answer(1, 2, settled("r1"));
		assertThat(this.caughtUp).isZero();
		answer(2, 2, settled("r2"));
		assertThat(this.caughtUp).isEqualTo(1);
		assertThat(this.read).hasSize(2);
		assertThat(this.store.reads).containsExactly(0L, 1L);
	}

	// The links to most other relays are down, so only the log tells what they give to
	// programs. It is read often then, and seldom while the links tell the same sooner.
	@Test
	void logIsReadOftenWhileMostLinksAreDown() {
		this.reader.read();
		answer(0, 0);
		this.store.pass(100);
		assertThat(this.store.reads).hasSize(1);
		this.store.pass(400);
		assertThat(this.store.reads).hasSize(2);
		this.alone = true;
		answer(0, 0);
		this.store.pass(100);
		assertThat(this.store.reads).hasSize(3);
	}

	// A read was under way when the process fell asleep, and its answer is as old as
	// that. Only a read that began after the process woke tells what happened meanwhile.
	@Test
	void readFromBeforeASleepDoesNotCatchUp() {
		this.reader.read();
		answer(0, 0);
		this.store.pass(500);
		this.reader.catchUp();
		answer(0, 0);
		assertThat(this.caughtUp).isEqualTo(1);
		answer(1, 1, settled("r1"));
		assertThat(this.caughtUp).isEqualTo(2);
	}

	// All relays were lost in an outage of eight seconds, and one of them started sooner
	// than this one. It has written by now, so the newest entry is new; taken for all,
	// this
	// one would believe that nothing was given without the log, and give it once more.
	@Test
	void outageBeforeTheLossOfAllShowsThoughOthersHaveWrittenSince() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(1, 3, List.of(written("r1", now - 9_000)));
		answer(3, 3, List.of(written("r2", now - 500), written("r3", now - 100)));
		assertThat(this.age).contains(Duration.ofMillis(8_500));
	}

	// The store was away for five seconds and back for a moment when all relays were
	// lost.
	// One of them had written what had waited; what the others held is in no log. Nothing
	// in
	// the times of the entries shows it but how long they waited.
	@Test
	void outageThatEndedJustBeforeTheLossOfAllShows() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(3, 3,
				List.of(written("r1", now - 6_500), late("r2", now - 6_200, 4_700), late("r3", now - 3_000, 1_500)));
		assertThat(this.age).contains(Duration.ofMillis(4_700));
	}

	@Test
	void outageAfterWhichAllHaveWrittenDoesNotCount() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(5, 5, List.of(written("r1", now - 9_000), late("r2", now - 8_000, 4_000), written("r3", now - 5_900),
				written("r4", now - 3_600), written("r5", now - 1_900)));
		assertThat(this.age).contains(Duration.ofMillis(2_300));
	}

	@Test
	void ageOfALogThatWasWrittenToAllTheTimeIsThatOfItsNewestEntry() {
		this.reader.read();
		long now = this.store.wallClockMillis();
		answer(2, 2, List.of(written("r1", now - 900), written("r2", now - 700)));
		assertThat(this.age).contains(Duration.ofMillis(700));
	}

	@Test
	void deletedEntriesAreSkipped() {
		this.reader.read();
		this.store.readAnswers.poll().accept(new Store.ReadResult.Deleted(7));
		assertThat(this.store.reads).containsExactly(0L, 7L);
	}

	@Test
	void failedReadIsMadeAgainAfterAPause() {
		this.reader.read();
		this.store.readAnswers.poll().accept(new Store.ReadResult.Failed("no answer"));
		assertThat(this.store.reads).hasSize(1);
		this.store.pass(1000);
		assertThat(this.store.reads).containsExactly(0L, 0L);
	}

	private void answer(long next, long end, LedgerEntry... entries) {
		answer(next, end, Stream.of(entries).map(RelayCodec::encode).toList());
	}

	private void answer(long next, long end, List<byte[]> entries) {
		List<Store.StoredRecord> records = new ArrayList<>();
		for (byte[] entry : entries) {
			records.add(new Store.StoredRecord(next - 1, Optional.empty(), Optional.of(entry)));
		}
		this.store.readAnswers.poll().accept(new Store.ReadResult.Records(records, next, end));
	}

	private static byte[] written(String request, long at) {
		return RelayCodec.encode(settled(request), at);
	}

	private static byte[] late(String request, long at, long milliseconds) {
		return RelayCodec.withAppendDelay(written(request, at), Duration.ofMillis(milliseconds));
	}

	private static LedgerEntry settled(String request) {
		return new LedgerEntry.Settled(request, "p", 1, Optional.empty());
	}

}
