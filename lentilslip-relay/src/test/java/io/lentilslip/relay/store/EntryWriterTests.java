package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryWriterTests {

	private static final TextLocation PLACE = new TextLocation(Optional.empty(), 1, 2, 3);

	private final FakeStore store = new FakeStore();

	private final Set<String> stored = new HashSet<>();

	private final List<Integer> givenUp = new ArrayList<>();

	private int contenders;

	private final EntryWriter writer = new EntryWriter(this.store, this.store, new SplittableRandom(1),
			this.stored::addAll, () -> this.contenders++, (well) -> {
			}, this.givenUp::add);

	@Test
	void endOfAKeptTurnIsWrittenAtOnceWithWhatWaits() {
		this.writer.write(settled("a", Optional.empty()));
		assertThat(this.store.appends).isEmpty();
		this.writer.write(settled("b", Optional.of(PLACE)));
		assertThat(this.store.appends).hasSize(1);
		assertThat(this.store.appends.getFirst()).hasSize(2);
	}

	@Test
	void entriesThatNobodyWaitsForGoTogether() {
		this.writer.write(settled("a", Optional.empty()));
		this.writer.write(settled("b", Optional.empty()));
		this.store.pass(100);
		assertThat(this.store.appends).hasSize(1);
		assertThat(this.store.appends.getFirst()).hasSize(2);
	}

	// A turn's reservation is on its way to the log as the turn ends. Its being there
	// says
	// nothing of the end: told as stored, the caller would see the end of a turn that the
	// loss of all relays takes away.
	@Test
	void reservationInTheLogDoesNotStandForTheEndOfItsTurn() {
		this.writer.write(new LedgerEntry.Reserved("a", "p", 9, "u", List.of(), false));
		this.store.pass(100);
		this.writer.write(settled("a", Optional.of(PLACE)));
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.stored).isEmpty();
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(1));
		assertThat(this.stored).containsExactly("a");
	}

	@Test
	void contenderInTheLogIsToldAtOnce() {
		this.writer.write(new LedgerEntry.Reserved("a", "p", 9, "", List.of(), true));
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.contenders).isEqualTo(1);
		assertThat(this.stored).isEmpty();
	}

	// An append's answer is lost. The entries may stand in the log or not: they are
	// written again before anything after them, and nobody is told that they are there.
	@Test
	void appendOfUnknownOutcomeIsMadeAgainBeforeWhatFollows() {
		this.writer.write(settled("a", Optional.empty()));
		this.store.pass(100);
		this.writer.write(settled("b", Optional.empty()));
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Unknown("no answer"));
		assertThat(this.stored).isEmpty();
		this.store.pass(1000);
		assertThat(this.store.appends).hasSize(2);
		assertThat(decoded(1)).isEqualTo(decoded(0)).hasSize(1);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.store.appends).hasSize(3);
	}

	private List<LedgerEntry> decoded(int append) {
		return this.store.appends.get(append)
			.stream()
			.map((entry) -> RelayCodec.decodeEntry(entry).entry().get())
			.toList();
	}

	// The store was away for seconds. Whoever reads the entry later can tell, and one
	// that
	// went out soon says nothing of it.
	@Test
	void entryThatWaitedForTheLogSaysForHowLong() {
		this.writer.write(settled("a", Optional.empty()));
		this.store.pass(100);
		assertThat(late(0)).isEqualTo(Duration.ZERO);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Rejected("status 503"));
		this.store.pass(5_000);
		assertThat(late(1)).isEqualTo(Duration.ofMillis(5_100));
		this.writer.write(settled("b", Optional.empty()));
		this.store.pass(3_000);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		assertThat(late(2)).isEqualTo(Duration.ofSeconds(3));
	}

	private Duration late(int append) {
		return RelayCodec.decodeEntry(this.store.appends.get(append).getFirst())
			.timestamp()
			.orElseThrow()
			.appendDelay();
	}

	// A relay that was frozen or cut off is linked again. What the store has not
	// confirmed
	// is told to it anew, whether it waits or is under way.
	@Test
	void entriesAreUnconfirmedUntilTheStoreHasThem() {
		LedgerEntry first = settled("a", Optional.empty());
		LedgerEntry second = settled("b", Optional.empty());
		this.writer.write(first);
		this.store.pass(100);
		this.writer.write(second);
		assertThat(this.writer.unacknowledged()).containsExactly(first, second);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(0));
		this.store.pass(100);
		assertThat(this.writer.unacknowledged()).containsExactly(second);
		this.store.appendAnswers.poll().accept(new Store.AppendResult.Success(1));
		assertThat(this.writer.unacknowledged()).isEmpty();
	}

	// A store does not answer, and entries wait for it. Beyond 24 MiB the
	// oldest wait no longer: whoever waits for them hears nothing more from this relay,
	// so it has to be told how many there were.
	@Test
	void entriesBeyondTheBoundAreGivenUpAndTold() {
		int mebibyte = 1024 * 1024;
		this.writer.write(large("a", 1));
		this.writer.write(large("b", 1));
		this.writer.write(large("c", 1));
		this.writer.write(large("d", 12 * mebibyte));
		this.writer.write(large("e", 11 * mebibyte));
		assertThat(this.givenUp).isEmpty();
		this.writer.write(large("f", mebibyte));
		assertThat(this.givenUp).containsExactly(3);
		assertThat(this.writer.unacknowledged()).extracting(LedgerEntry::request).containsExactly("a", "e", "f");
	}

	private static LedgerEntry large(String request, int bytes) {
		return new LedgerEntry.Settled(request, "p".repeat(bytes), 1, Optional.of(PLACE));
	}

	private static LedgerEntry settled(String request, Optional<TextLocation> text) {
		return new LedgerEntry.Settled(request, "p", 1, text);
	}

}
