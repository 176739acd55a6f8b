package io.lentilslip.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.relay.store.Store.StoredRecord;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TextReaderTests {

	private final FakeStore store = new FakeStore();

	private final List<Optional<String>> results = new ArrayList<>();

	private final TextReader reader = new TextReader(this.store);

	@Test
	void textIsFoundAtItsLocation() {
		read(location(5));
		assertThat(this.store.readOffsets).containsExactly(5L);
		this.store.readCallbacks.poll().accept(records(5, 6, "t"));
		assertThat(this.results).containsExactly(Optional.of("text of t"));
	}

	// Relays share partitions, so another relay's texts may precede the one searched for.
	@Test
	void textIsFoundBehindTextsOfOtherRelays() {
		read(location(5));
		this.store.readCallbacks.poll().accept(records(5, 9, "a", "b"));
		assertThat(this.store.readOffsets).containsExactly(5L, 7L);
		this.store.readCallbacks.poll().accept(records(7, 9, "t", "c"));
		assertThat(this.results).containsExactly(Optional.of("text of t"));
	}

	// A relay may publish a location, fail to write the text there, and have another
	// relay write it.
	@Test
	void textIsFoundAtTheSecondLocation() {
		read(location(5), location(50));
		this.store.readCallbacks.poll().accept(records(5, 6, "a"));
		this.store.readCallbacks.poll().accept(records(50, 51, "t"));
		assertThat(this.results).containsExactly(Optional.of("text of t"));
	}

	// After an outage all queued texts are appended behind the location published for
	// them, so the last one is far behind it.
	@Test
	void searchCoversTheBacklogOfAnOutage() {
		read(location(5));
		while (!this.store.readCallbacks.isEmpty()) {
			this.store.readCallbacks.poll().accept(records(5, 1000, "other"));
		}
		assertThat(this.store.textReadBytes.stream().mapToInt(Integer::intValue).sum()).isGreaterThan(4_000_000);
	}

	@Test
	void missingTextIsReportedAfterABoundedNumberOfCalls() {
		read(location(0));
		int calls = 0;
		while (!this.store.readCallbacks.isEmpty()) {
			this.store.readCallbacks.poll().accept(records(calls, 1000, "other"));
			calls++;
		}
		assertThat(this.results).containsExactly(Optional.empty());
		assertThat(calls).isLessThan(10);
	}

	// Another relay of the same partition wrote sixty texts since the published location.
	// The text behind them must still be found.
	@Test
	void textIsFoundBehindManyTextsOfAnotherRelay() {
		int size = 4096;
		int others = 60;
		read(new TextLocation(Optional.empty(), size, 3, 5));
		while (!this.store.readCallbacks.isEmpty()) {
			int next = this.store.readOffsets.getLast().intValue() - 5;
			int batch = Math.max(1, this.store.textReadBytes.getLast() / size);
			String[] turns = IntStream.range(next, Math.min(next + batch, others + 1))
				.mapToObj((turn) -> (turn < others) ? "other" : "t")
				.toArray(String[]::new);
			this.store.readCallbacks.poll().accept(records(5 + next, 5 + others + 1, turns));
		}
		assertThat(this.results).containsExactly(Optional.of("text of t"));
	}

	@Test
	void undecodableRecordsAreSkipped() {
		read(location(5));
		StoredRecord unreadable = new StoredRecord(5, Optional.empty(), Optional.of(new byte[] { 1 }));
		StoredRecord empty = new StoredRecord(6, Optional.empty(), Optional.empty());
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(List.of(unreadable, empty), 7, 8));
		this.store.readCallbacks.poll().accept(records(7, 8, "t"));
		assertThat(this.results).containsExactly(Optional.of("text of t"));
	}

	@Test
	void textIsJoinedFromItsPartsInAnyReads() {
		StoredTurn text = new StoredTurn(Optional.of("before"), "i".repeat(700).getBytes(), "o".repeat(700).getBytes());
		List<byte[]> parts = RelayCodec.encodeRecords(new TurnText(RunId.unnumbered("t"), text), 500);
		List<Optional<StoredTurn>> found = new ArrayList<>();
		this.reader.read(RunId.unnumbered("t"), List.of(location(5)), found::add);
		for (int i = 0; i < parts.size(); i++) {
			assertThat(found).isEmpty();
			this.store.readCallbacks.poll()
				.accept(new Store.ReadResult.Records(
						List.of(new StoredRecord(5 + i, Optional.empty(), Optional.of(parts.get(i)))), 6 + i, 100));
		}
		assertThat(parts).hasSizeGreaterThan(2);
		assertThat(found.getFirst()).hasValueSatisfying((joined) -> {
			assertThat(joined.previous()).contains("before");
			assertThat(joined.input()).isEqualTo(text.input());
			assertThat(joined.output()).isEqualTo(text.output());
		});
	}

	// Guards against joining parts of two writers that divide texts in different ways.
	@Test
	void partsOfDifferentDivisionsAreNotJoined() {
		StoredTurn text = new StoredTurn(Optional.of("before"), "i".repeat(700).getBytes(), "o".repeat(700).getBytes());
		TurnText turn = new TurnText(RunId.unnumbered("t"), text);
		List<byte[]> records = new ArrayList<>(RelayCodec.encodeRecords(turn, 500).subList(0, 2));
		records.addAll(RelayCodec.encodeRecords(turn, 900));
		List<Optional<StoredTurn>> found = new ArrayList<>();
		this.reader.read(RunId.unnumbered("t"), List.of(location(5)), found::add);
		this.store.readCallbacks.poll()
			.accept(new Store.ReadResult.Records(
					records.stream().map((part) -> new StoredRecord(5, Optional.empty(), Optional.of(part))).toList(),
					100, 100));
		assertThat(found.getFirst()).hasValueSatisfying((joined) -> {
			assertThat(joined.input()).isEqualTo(text.input());
			assertThat(joined.output()).isEqualTo(text.output());
		});
	}

	// Guards against the text of an attempt that its caller has given up.
	@Test
	void textOfAnotherRunIsSkipped() {
		List<StoredRecord> records = new ArrayList<>();
		for (int run = 1; run <= 2; run++) {
			TurnText turn = new TurnText(new RunId("t", (long) run << 30),
					new StoredTurn(Optional.empty(), new byte[0], ("run " + run).getBytes()));
			records.add(new StoredRecord(4 + run, Optional.empty(), Optional.of(RelayCodec.encode(turn))));
		}
		this.reader.read(new RunId("t", 2L << 30), List.of(location(5)),
				(text) -> this.results.add(text.map((turn) -> new String(turn.output()))));
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(records, 7, 7));
		assertThat(this.results).containsExactly(Optional.of("run 2"));
	}

	@Test
	void failedReadIsReportedAsNotFound() {
		read(location(5));
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Failed("status 503"));
		assertThat(this.results).containsExactly(Optional.empty());
	}

	private void read(TextLocation... locations) {
		this.reader.read(RunId.unnumbered("t"), List.of(locations),
				(text) -> this.results.add(text.map((turn) -> new String(turn.output()))));
	}

	private static TextLocation location(long from) {
		return new TextLocation(Optional.empty(), 9, 3, from);
	}

	private static Store.ReadResult records(long from, long end, String... turns) {
		List<StoredRecord> records = new ArrayList<>();
		for (String turn : turns) {
			StoredTurn text = new StoredTurn(Optional.empty(), new byte[0], ("text of " + turn).getBytes());
			records.add(new StoredRecord(from + records.size(), Optional.empty(),
					Optional.of(RelayCodec.encode(new TurnText(RunId.unnumbered(turn), text)))));
		}
		return new Store.ReadResult.Records(records, from + turns.length, end);
	}

}
