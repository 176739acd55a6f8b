package io.lentilslip.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.relay.store.Store.StoredRecord;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TextReaderTests {

	private final FakeStore store = new FakeStore();

	private final List<Optional<String>> found = new ArrayList<>();

	private final TextReader reader = new TextReader(this.store);

	@Test
	void textIsFoundWhereItIsSaidToBe() {
		read(place(5));
		assertThat(this.store.reads).containsExactly(5L);
		this.store.readAnswers.poll().accept(records(5, 6, "t"));
		assertThat(this.found).containsExactly(Optional.of("text of t"));
	}

	// Two relays share a partition, and another one's texts came in between.
	@Test
	void textIsLookedForBehindWhatOthersWrote() {
		read(place(5));
		this.store.readAnswers.poll().accept(records(5, 9, "a", "b"));
		assertThat(this.store.reads).containsExactly(5L, 7L);
		this.store.readAnswers.poll().accept(records(7, 9, "t", "c"));
		assertThat(this.found).containsExactly(Optional.of("text of t"));
	}

	// A relay told where its text would be and could not write it there, and another one
	// wrote it for it.
	@Test
	void textIsLookedForAtTheNextPlaceWhereTheFirstHasIt() {
		read(place(5), place(50));
		this.store.readAnswers.poll().accept(records(5, 6, "a"));
		this.store.readAnswers.poll().accept(records(50, 51, "t"));
		assertThat(this.found).containsExactly(Optional.of("text of t"));
	}

	// The store was away for seconds. All texts that waited for it were told to stand
	// where
	// their partition had ended before, so the last one stands far behind that.
	@Test
	void textIsLookedForBehindAllThatWaitedForTheStore() {
		read(place(5));
		while (!this.store.readAnswers.isEmpty()) {
			this.store.readAnswers.poll().accept(records(5, 1000, "other"));
		}
		assertThat(this.store.textBytes.stream().mapToInt(Integer::intValue).sum()).isGreaterThan(4_000_000);
	}

	@Test
	void textThatIsNowhereIsToldAsNotFoundAfterABoundedNumberOfCalls() {
		read(place(0));
		int calls = 0;
		while (!this.store.readAnswers.isEmpty()) {
			this.store.readAnswers.poll().accept(records(calls, 1000, "other"));
			calls++;
		}
		assertThat(this.found).containsExactly(Optional.empty());
		assertThat(calls).isLessThan(10);
	}

	// A relay has kept no turn for some seconds, and one that shares its partition has
	// kept sixty. Its next text stands behind them all, and its caller has seen the end:
	// the text must be found, with as many bytes a call as the reader asks for.
	@Test
	void textIsFoundBehindWhatAnotherRelayWroteInSeconds() {
		int size = 4096;
		int others = 60;
		read(new TextLocation(Optional.empty(), size, 3, 5));
		while (!this.store.readAnswers.isEmpty()) {
			int next = this.store.reads.getLast().intValue() - 5;
			int most = Math.max(1, this.store.textBytes.getLast() / size);
			String[] turns = IntStream.range(next, Math.min(next + most, others + 1))
				.mapToObj((turn) -> (turn < others) ? "other" : "t")
				.toArray(String[]::new);
			this.store.readAnswers.poll().accept(records(5 + next, 5 + others + 1, turns));
		}
		assertThat(this.found).containsExactly(Optional.of("text of t"));
	}

	@Test
	void recordsThatAreNoTextsArePassedOver() {
		read(place(5));
		StoredRecord unreadable = new StoredRecord(5, Optional.empty(), Optional.of(new byte[] { 1 }));
		StoredRecord empty = new StoredRecord(6, Optional.empty(), Optional.empty());
		this.store.readAnswers.poll().accept(new Store.ReadResult.Records(List.of(unreadable, empty), 7, 8));
		this.store.readAnswers.poll().accept(records(7, 8, "t"));
		assertThat(this.found).containsExactly(Optional.of("text of t"));
	}

	@Test
	void failureOfTheStoreIsToldAsNotFound() {
		read(place(5));
		this.store.readAnswers.poll().accept(new Store.ReadResult.Failed("status 503"));
		assertThat(this.found).containsExactly(Optional.empty());
	}

	private void read(TextLocation... places) {
		this.reader.read("t", List.of(places), (text) -> this.found.add(text.map((kept) -> new String(kept.output()))));
	}

	private static TextLocation place(long from) {
		return new TextLocation(Optional.empty(), 9, 3, from);
	}

	private static Store.ReadResult records(long from, long end, String... turns) {
		List<StoredRecord> records = new ArrayList<>();
		for (String turn : turns) {
			StoredTurn text = new StoredTurn(Optional.empty(), new byte[0], ("text of " + turn).getBytes());
			records.add(new StoredRecord(from + records.size(), Optional.empty(),
					Optional.of(RelayCodec.encode(new TurnText(turn, text)))));
		}
		return new Store.ReadResult.Records(records, from + turns.length, end);
	}

}
