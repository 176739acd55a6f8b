package io.lentilslip.core.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UncommittedEntriesTests {

	private static final Function<LedgerEntry, List<String>> ALL = (entry) -> List.of();

	private final UncommittedEntries entries = new UncommittedEntries(0);

	private final LedgerEntry entry = RelayFixture.settledTurn("t", null);

	@Test
	void entryIsOverdueOnceTheLogHadItsTime() {
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 1_499)).isEmpty();
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 1_500)).containsExactly(this.entry);
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 9_000)).isEmpty();
	}

	// The log shows an entry before the link brings it. Kept then, it would be written a
	// second time by every relay.
	@Test
	void entryThatTheLogShowedFirstIsNotKept() {
		this.entries.committed(this.entry);
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.size()).isZero();
	}

	@Test
	void entryIsACopyOnceTheLogHasShownOneOfItsRequestAndKind() {
		LedgerEntry reserved = new LedgerEntry.Reserved("t", "p", 7, "", List.of(), false);
		assertThat(this.entries.committed(this.entry)).isFalse();
		assertThat(this.entries.committed(reserved)).isFalse();
		assertThat(this.entries.committed(this.entry)).isTrue();
		assertThat(this.entries.committed(this.entry)).isTrue();
	}

	@Test
	void timeBeginsAnewWhenTheLogIsBack() {
		this.entries.add(this.entry, "x", 0);
		this.entries.restartTimeouts(5_000);
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 6_000)).isEmpty();
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 6_500)).hasSize(1);
	}

	@Test
	void entriesAreFoundByTheirProgram() {
		LedgerEntry reserved = new LedgerEntry.Reserved("r", "p", 7, "", List.of(), false);
		LedgerEntry settled = new LedgerEntry.Settled("s", "p", 5, Optional.empty());
		LedgerEntry other = new LedgerEntry.Settled("o", "q", 5, Optional.empty());
		LedgerEntry kept = RelayFixture.settledTurn("k", null);
		List.of(reserved, kept, settled, other).forEach((entry) -> this.entries.add(entry, "x", 0));
		assertThat(this.entries.entriesOf("p")).containsExactly(reserved, kept, settled);
		assertThat(this.entries.all()).containsExactly(reserved, kept, settled, other);
	}

	@Test
	void ownEntryIsLeftToItsWriterAndCounts() {
		LedgerEntry reserved = new LedgerEntry.Reserved("r", "p", 100, "", List.of(), false);
		this.entries.add(reserved, "own", 0);
		assertThat(this.entries.takeOverdue("own", Set.of(), ALL, 9_000)).isEmpty();
		assertThat(this.entries.tokensOf("p")).isEqualTo(100);
	}

	@Test
	void turnThatHasNotEndedCountsAtItsMost() {
		LedgerEntry ended = new LedgerEntry.Reserved("r", "p", 100, "", List.of(), false);
		LedgerEntry open = new LedgerEntry.Reserved("o", "p", 100, "", List.of(), false);
		LedgerEntry settled = new LedgerEntry.Settled("r", "p", 30, Optional.empty());
		LedgerEntry other = new LedgerEntry.Settled("x", "q", 5, Optional.empty());
		List.of(ended, open, settled, other).forEach((entry) -> this.entries.add(entry, "x", 0));
		assertThat(this.entries.tokensOf("p")).isEqualTo(130);
		this.entries.committed(settled);
		assertThat(this.entries.tokensOf("p")).isEqualTo(100);
	}

	// Three relays keep a program, and the log has not shown an entry of it. The first
	// two
	// write it, and the third only if they have not either.
	@Test
	void keepersStepInOneAfterTheOther() {
		List<String> keepers = List.of("a", "b", "own");
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.takeOverdue("own", Set.of("x"), (entry) -> keepers, 1_500)).isEmpty();
		assertThat(this.entries.takeOverdue("own", Set.of("x"), (entry) -> keepers, 3_000)).containsExactly(this.entry);
	}

	// A relay lives and does not reach the log. Thirty others were told what it gave, and
	// when the longest of their patience is over, at least one of them has tried to write
	// each entry: what none has written is given again after the loss of all relays.
	@Test
	void entryOfARelayThatLivesIsWrittenByAnotherWithinThePatienceOfAll() {
		int relays = 30;
		int entriesTold = 1000;
		SplittableRandom random = new SplittableRandom(5);
		Set<String> all = IntStream.range(0, relays).mapToObj((peer) -> "p" + peer).collect(Collectors.toSet());
		Set<String> written = new HashSet<>();
		for (int relay = 1; relay < relays; relay++) {
			String own = "p" + relay;
			Set<String> linked = new HashSet<>(all);
			linked.remove(own);
			UncommittedEntries others = new UncommittedEntries(
					random.nextLong(RelaySettings.ADOPTION_JITTER.toMillis()));
			IntStream.range(0, entriesTold)
				.forEach((turn) -> others.add(RelayFixture.settledTurn("t" + turn, null), "p0", 0));
			for (long now = 0; now <= 4_000; now += 80) {
				others.takeOverdue(own, linked, ALL, now).forEach((entry) -> written.add(entry.request()));
			}
		}
		assertThat(written).hasSize(entriesTold);
	}

}
