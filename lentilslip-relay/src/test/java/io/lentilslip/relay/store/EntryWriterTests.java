package io.lentilslip.relay.store;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.LedgerEntry.KeptTurn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryWriterTests {

	private final FakeStore store = new FakeStore();

	private final Set<String> stored = new HashSet<>();

	private final EntryWriter writer = new EntryWriter(this.store, this.store, new SplittableRandom(1),
			this.stored::addAll, (well) -> {
			});

	@Test
	void endOfAKeptTurnIsWrittenAtOnceWithWhatWaits() {
		this.writer.write(settled("a", Optional.empty()));
		assertThat(this.store.appends).isEmpty();
		this.writer.write(settled("b", Optional.of(new KeptTurn(Optional.empty(), new byte[1], new byte[1]))));
		assertThat(this.store.appends).hasSize(1);
		assertThat(this.store.appends.getFirst()).hasSize(2);
	}

	@Test
	void entriesThatNobodyWaitsForGoTogether() {
		this.writer.write(settled("a", Optional.empty()));
		this.writer.write(settled("b", Optional.empty()));
		this.store.pass(100);
		assertThat(this.store.appends).hasSize(1);
		this.store.appendAnswers.poll().accept(new Store.Appended.Done(0));
		assertThat(this.stored).containsExactlyInAnyOrder("a", "b");
	}

	// An append's answer is lost. The entries may stand in the log or not: they are
	// written again before anything after them, and nobody is told that they are there.
	@Test
	void appendOfUnknownOutcomeIsMadeAgainBeforeWhatFollows() {
		this.writer.write(settled("a", Optional.empty()));
		this.store.pass(100);
		this.writer.write(settled("b", Optional.empty()));
		this.store.appendAnswers.poll().accept(new Store.Appended.Unknown("no answer"));
		assertThat(this.stored).isEmpty();
		this.store.pass(1000);
		assertThat(this.store.appends).hasSize(2);
		assertThat(this.store.appends.get(1)).isEqualTo(this.store.appends.get(0));
		this.store.appendAnswers.poll().accept(new Store.Appended.Done(0));
		assertThat(this.store.appends).hasSize(3);
	}

	private static LedgerEntry settled(String request, Optional<KeptTurn> kept) {
		return new LedgerEntry.Settled(request, "p", 1, kept);
	}

}
