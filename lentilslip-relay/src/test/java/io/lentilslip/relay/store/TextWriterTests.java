package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TextWriterTests {

	private static final int MAX_RECORD_BYTES = 2 * 1024 * 1024;

	private final FakeStore store = new FakeStore();

	private final Set<String> storedTurns = new HashSet<>();

	private long firstOffset;

	private long endOffset;

	private Duration latency = Duration.ZERO;

	private int dropped;

	private final TextWriter writer = new TextWriter(this.store, this.store, new SplittableRandom(1), 3,
			MAX_RECORD_BYTES, this::storedTurns, (count) -> this.dropped += count);

	@Test
	void textIsAppendedAtOnceAndReportedWithTheEndOffset() {
		this.writer.write(text("a", 10));
		assertThat(this.store.appends).hasSize(1);
		this.store.advance(8);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(40));
		assertThat(this.storedTurns).containsExactly("a");
		assertThat(this.endOffset).isEqualTo(41);
		assertThat(this.latency).isEqualTo(Duration.ofMillis(8));
	}

	@Test
	void textsAddedDuringACallFormTheNextBatch() {
		this.writer.write(text("a", 10));
		this.writer.write(text("b", 10));
		this.writer.write(text("c", 10));
		assertThat(this.writer.size()).isEqualTo(2);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.store.appends.getLast()).hasSize(2);
	}

	// After a lost response to an append, the texts must be appended again without being
	// acknowledged first.
	@Test
	void appendWithUnknownOutcomeIsRetried() {
		this.writer.write(text("a", 10));
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Unknown("no response"));
		assertThat(this.storedTurns).isEmpty();
		this.store.advance(1000);
		assertThat(this.store.appends).hasSize(2);
		assertThat(this.store.appends.getLast()).isEqualTo(this.store.appends.getFirst());
	}

	// Guards against a text that no record can hold and that would be retried for ever.
	@Test
	void longTextIsSplitAndReportedOnceItsLastPartIsStored() {
		this.writer.write(text("a", 3 * MAX_RECORD_BYTES));
		this.writer.write(text("b", 10));
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(40));
		assertThat(this.storedTurns).isEmpty();
		long offset = 40 + this.store.appends.getLast().size();
		while (!this.store.appendCallbacks.isEmpty()) {
			long next = offset;
			offset += this.store.appends.getLast().size();
			this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(next));
			assertThat(this.firstOffset).isEqualTo(40);
		}
		assertThat(this.store.appends.stream().flatMap(List::stream))
			.allSatisfy((entry) -> assertThat(entry.length).isLessThanOrEqualTo(MAX_RECORD_BYTES));
		assertThat(this.storedTurns).containsExactlyInAnyOrder("a", "b");
	}

	// Guards against reporting a text whose first parts were dropped in an outage.
	@Test
	void partsOfADroppedTextAreDroppedWithIt() {
		this.writer.write(text("first", 10));
		this.writer.write(text("long", 3 * MAX_RECORD_BYTES));
		for (int i = 0; i < 6; i++) {
			this.writer.write(text("t" + i, MAX_RECORD_BYTES - 100));
		}
		while (!this.store.appendCallbacks.isEmpty()) {
			this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		}
		assertThat(this.storedTurns).contains("first", "t5").doesNotContain("long");
	}

	// Guards against one record that blocks all others of the relay.
	@Test
	void invalidRecordDoesNotBlockOthers() {
		this.writer.write(text("first", 10));
		for (String request : List.of("a", "invalid", "b")) {
			this.writer.write(text(request, 10));
		}
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		while (!this.store.appendCallbacks.isEmpty()) {
			boolean invalid = this.store.appends.getLast()
				.stream()
				.anyMatch((entry) -> RelayCodec.decodeText(entry).get().request().equals("invalid"));
			this.store.appendCallbacks.poll()
				.accept(invalid ? new Store.AppendResult.Invalid("status 413") : new Store.AppendResult.Success(1));
		}
		assertThat(this.storedTurns).containsExactlyInAnyOrder("first", "a", "b");
		assertThat(this.dropped).isEqualTo(1);
	}

	// During a long outage the queue must stay within its limit and keep the latest
	// texts, whose callers are still waiting.
	@Test
	void oldestTextsBeyondTheSizeLimitAreDropped() {
		int megabytes = 20;
		for (int i = 0; i <= megabytes; i++) {
			this.writer.write(text("t" + i, 1024 * 1024));
		}
		assertThat(this.writer.size()).isBetween(10, 16);
		assertThat(this.dropped).isEqualTo(megabytes - this.writer.size());
	}

	// Readers search from the end offset that the writer knows. Without the initial
	// offset they would read the whole partition.
	@Test
	void startReadsTheEndOffset() {
		this.writer.start();
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Failed("status 503"));
		this.store.advance(1000);
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(List.of(), 0, 77));
		assertThat(this.endOffset).isEqualTo(77);
	}

	// If the start of the partition was deleted, the first remaining offset is not the
	// end offset. A search that starts there ends before it reaches the text.
	@Test
	void startReadsTheEndOffsetOfATruncatedPartition() {
		this.writer.start();
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Deleted(500));
		assertThat(this.store.readOffsets).containsExactly(0L, 500L);
		this.store.readCallbacks.poll().accept(new Store.ReadResult.Records(List.of(), 500, 900));
		assertThat(this.endOffset).isEqualTo(900);
	}

	private void storedTurns(Set<RunId> runs, long newFirstOffset, long newEndOffset, Duration newLatency) {
		this.firstOffset = newFirstOffset;
		runs.forEach((run) -> this.storedTurns.add(run.request()));
		this.endOffset = newEndOffset;
		this.latency = newLatency;
	}

	private static TurnText text(String request, int bytes) {
		return new TurnText(RunId.unnumbered(request), new StoredTurn(Optional.empty(), new byte[bytes], new byte[0]));
	}

}
