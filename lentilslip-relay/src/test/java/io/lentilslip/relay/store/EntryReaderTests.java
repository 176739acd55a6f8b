package io.lentilslip.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryReaderTests {

	private final FakeStore store = new FakeStore();

	private final List<LedgerEntry> read = new ArrayList<>();

	private int caughtUp;

	private boolean alone;

	private final EntryReader reader = new EntryReader(this.store, this.store, new SplittableRandom(1),
			this.read::addAll, (offset, took, age) -> this.caughtUp++, (well) -> {
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

	@Test
	void deletedEntriesAreSkipped() {
		this.reader.read();
		this.store.readAnswers.poll().accept(new Store.Read.Deleted(7));
		assertThat(this.store.reads).containsExactly(0L, 7L);
	}

	@Test
	void failedReadIsMadeAgainAfterAPause() {
		this.reader.read();
		this.store.readAnswers.poll().accept(new Store.Read.Failed("no answer"));
		assertThat(this.store.reads).hasSize(1);
		this.store.pass(1000);
		assertThat(this.store.reads).containsExactly(0L, 0L);
	}

	private void answer(long next, long end, LedgerEntry... entries) {
		List<Store.StoredRecord> records = new ArrayList<>();
		for (LedgerEntry entry : entries) {
			records.add(new Store.StoredRecord(next - 1, Optional.empty(), Optional.of(RelayCodec.encode(entry))));
		}
		this.store.readAnswers.poll().accept(new Store.Read.Records(records, next, end));
	}

	private static LedgerEntry settled(String request) {
		return new LedgerEntry.Settled(request, "p", 1, Optional.empty());
	}

}
