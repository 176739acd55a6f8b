package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TurnText;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TextWriterTests {

	private final FakeStore store = new FakeStore();

	private final Set<String> stored = new HashSet<>();

	private long end;

	private Duration took = Duration.ZERO;

	private int givenUp;

	private final TextWriter writer = new TextWriter(this.store, this.store, new SplittableRandom(1), 3, this::stored,
			(dropped) -> this.givenUp += dropped);

	@Test
	void textIsWrittenAtOnceAndToldWithTheEndOfItsPartition() {
		this.writer.write(text("a", 10));
		assertThat(this.store.appends).hasSize(1);
		this.store.pass(8);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(40));
		assertThat(this.stored).containsExactly("a");
		assertThat(this.end).isEqualTo(41);
		assertThat(this.took).isEqualTo(Duration.ofMillis(8));
	}

	@Test
	void textsThatComeDuringACallGoTogetherInTheNextOne() {
		this.writer.write(text("a", 10));
		this.writer.write(text("b", 10));
		this.writer.write(text("c", 10));
		assertThat(this.writer.size()).isEqualTo(2);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.store.appends.getLast()).hasSize(2);
	}

	// An append's answer is lost. The texts may stand in the store or not: they are
	// written
	// again, and nobody is told that they are there.
	@Test
	void appendOfUnknownOutcomeIsMadeAgain() {
		this.writer.write(text("a", 10));
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Unknown("no answer"));
		assertThat(this.stored).isEmpty();
		this.store.pass(1000);
		assertThat(this.store.appends).hasSize(2);
		assertThat(this.store.appends.getLast()).isEqualTo(this.store.appends.getFirst());
	}

	// The store is away for long. What waits stays within its bound, the newest texts in
	// it: their callers are those who still wait.
	@Test
	void oldestTextsWaitNoLongerBeyondTheBound() {
		int megabytes = 20;
		for (int i = 0; i <= megabytes; i++) {
			this.writer.write(text("t" + i, 1024 * 1024));
		}
		assertThat(this.writer.size()).isBetween(10, 16);
		assertThat(this.givenUp).isEqualTo(megabytes - this.writer.size());
	}

	// Whoever reads a text looks from the end that its writer knew. A writer that did not
	// ask for it would send all others through the whole partition.
	@Test
	void writerThatStartsAsksWhereItsPartitionEnds() {
		this.writer.start();
		this.store.readAnswers.poll().accept(new Store.ReadResult.Failed("status 503"));
		this.store.pass(1000);
		this.store.readAnswers.poll().accept(new Store.ReadResult.Records(List.of(), 0, 77));
		assertThat(this.end).isEqualTo(77);
	}

	// The log has dropped the beginning of the partition, and a relay starts. Where the
	// rest begins is not where it ends: a text that is said to stand from there on is
	// not found behind all that stands between.
	@Test
	void writerThatStartsAfterTheBeginningIsGoneAsksWhereItsPartitionEnds() {
		this.writer.start();
		this.store.readAnswers.poll().accept(new Store.ReadResult.Deleted(500));
		assertThat(this.store.reads).containsExactly(0L, 500L);
		this.store.readAnswers.poll().accept(new Store.ReadResult.Records(List.of(), 500, 900));
		assertThat(this.end).isEqualTo(900);
	}

	private void stored(Set<String> requests, long newEnd, Duration time) {
		this.stored.addAll(requests);
		this.end = newEnd;
		this.took = time;
	}

	private static TurnText text(String request, int bytes) {
		return new TurnText(request, new StoredTurn(Optional.empty(), new byte[bytes], new byte[0]));
	}

}
