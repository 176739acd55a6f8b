package io.lentilslip.core.relay;

import java.lang.management.ManagementFactory;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.sun.management.ThreadMXBean;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UncommittedEntriesTests {

	private static final Function<LedgerEntry, List<String>> ALL = (entry) -> List.of();

	private final UncommittedEntries entries = new UncommittedEntries(0);

	private final LedgerEntry entry = RelayFixture.settledTurn("t", null);

	@Test
	void entryIsOverdueAfterCommitTimeout() {
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 1_499)).isEmpty();
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 1_500)).containsExactly(this.entry);
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 9_000)).isEmpty();
	}

	// The entry is read from the log before it is replicated. Added then, it would be
	// appended again by every relay.
	@Test
	void entryReadFromLogFirstIsNotAdded() {
		this.entries.committed(this.entry);
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.size()).isZero();
	}

	@Test
	void committedEntryWithSameRequestAndTypeIsDuplicate() {
		LedgerEntry reserved = new LedgerEntry.Reserved(RunId.unnumbered("t"), "p", 7, "", List.of(), false);
		assertThat(this.entries.committed(this.entry)).isFalse();
		assertThat(this.entries.committed(reserved)).isFalse();
		assertThat(this.entries.committed(this.entry)).isTrue();
		assertThat(this.entries.committed(this.entry)).isTrue();
	}

	@Test
	void timeoutsRestartAfterLogOutage() {
		this.entries.add(this.entry, "x", 0);
		this.entries.restartTimeouts(5_000);
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 6_000)).isEmpty();
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 6_500)).hasSize(1);
	}

	@Test
	void entriesAreFoundByProgram() {
		LedgerEntry reserved = new LedgerEntry.Reserved(RunId.unnumbered("r"), "p", 7, "", List.of(), false);
		LedgerEntry settled = new LedgerEntry.Settled(RunId.unnumbered("s"), "p", 5, Optional.empty());
		LedgerEntry other = new LedgerEntry.Settled(RunId.unnumbered("o"), "q", 5, Optional.empty());
		LedgerEntry settledWithText = RelayFixture.settledTurn("k", null);
		List.of(reserved, settledWithText, settled, other).forEach((entry) -> this.entries.add(entry, "x", 0));
		assertThat(this.entries.entriesOf("p")).containsExactly(reserved, settledWithText, settled);
		assertThat(this.entries.all()).containsExactly(reserved, settledWithText, settled, other);
	}

	// Callers choose the ids of requests, and two programs may use the same one.
	@Test
	void entryWhoseIdAnotherProgramUsesIsFoundByItsLatestProgramOnly() {
		StreamAttempt attempt = new StreamAttempt(new SoftwareVersion("engine", "v1"), 1);
		LedgerEntry first = new LedgerEntry.Reserved(RunId.unnumbered("r"), "p", 7, "", List.of(), false);
		LedgerEntry second = new LedgerEntry.Reserved(RunId.unnumbered("r"), "q", 5, "", List.of(), false,
				Optional.of(attempt));
		this.entries.add(first, "x", 0);
		this.entries.add(second, "x", 0);
		assertThat(this.entries.entriesOf("p")).isEmpty();
		assertThat(this.entries.entriesOf("q")).containsExactly(second);
		this.entries.committed(second);
		assertThat(this.entries.entriesOf("q")).isEmpty();
		assertThat(this.entries.size()).isZero();
	}

	// Each turn with a budget asks for the usage of its program. While the log can't be
	// read, entries of all programs accumulate, and turns would become slower and slower.
	@Test
	void usageOfAProgramDoesNotDependOnEntriesOfOtherPrograms() {
		this.entries.add(new LedgerEntry.Reserved(RunId.unnumbered("r"), "p", 7, "", List.of(), false), "x", 0);
		usageBytes();
		long alone = usageBytes();
		for (int i = 0; i < 10_000; i++) {
			this.entries.add(new LedgerEntry.Reserved(RunId.unnumbered("r" + i), "q" + i, 7, "", List.of(), false), "x",
					0);
		}
		assertThat(usageBytes()).isLessThan(2 * alone + 10_000);
	}

	private long usageBytes() {
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long before = threads.getCurrentThreadAllocatedBytes();
		assertThat(this.entries.tokensOf("p") + this.entries.entriesOf("p").size()).isEqualTo(8);
		return threads.getCurrentThreadAllocatedBytes() - before;
	}

	@Test
	void localEntryIsNeverOverdueButCounts() {
		LedgerEntry reserved = new LedgerEntry.Reserved(RunId.unnumbered("r"), "p", 100, "", List.of(), false);
		this.entries.add(reserved, "self", 0);
		assertThat(this.entries.takeOverdue("self", Set.of(), ALL, 9_000)).isEmpty();
		assertThat(this.entries.tokensOf("p")).isEqualTo(100);
	}

	@Test
	void unsettledTurnCountsWithMaximum() {
		LedgerEntry ended = new LedgerEntry.Reserved(RunId.unnumbered("r"), "p", 100, "", List.of(), false);
		LedgerEntry open = new LedgerEntry.Reserved(RunId.unnumbered("o"), "p", 100, "", List.of(), false);
		LedgerEntry settled = new LedgerEntry.Settled(RunId.unnumbered("r"), "p", 30, Optional.empty());
		LedgerEntry other = new LedgerEntry.Settled(RunId.unnumbered("x"), "q", 5, Optional.empty());
		List.of(ended, open, settled, other).forEach((entry) -> this.entries.add(entry, "x", 0));
		assertThat(this.entries.tokensOf("p")).isEqualTo(130);
		this.entries.committed(settled);
		assertThat(this.entries.tokensOf("p")).isEqualTo(100);
	}

	// Two replicas append an overdue entry, and the third only after another timeout.
	@Test
	void furtherReplicasAppendAfterFurtherTimeouts() {
		List<String> replicas = List.of("a", "b", "self");
		this.entries.add(this.entry, "x", 0);
		assertThat(this.entries.takeOverdue("self", Set.of("x"), (entry) -> replicas, 1_500)).isEmpty();
		assertThat(this.entries.takeOverdue("self", Set.of("x"), (entry) -> replicas, 3_000))
			.containsExactly(this.entry);
	}

	// A connected relay doesn't reach the log. Unless another relay appends each of its
	// entries in time, the tokens could be granted again after the loss of all relays.
	@Test
	void entryOfConnectedRelayIsAppendedByAnotherWithinMaximumTimeout() {
		int relays = 30;
		int entryCount = 1000;
		SplittableRandom random = new SplittableRandom(5);
		Set<String> all = IntStream.range(0, relays).mapToObj((peer) -> "p" + peer).collect(Collectors.toSet());
		Set<String> appended = new HashSet<>();
		for (int relay = 1; relay < relays; relay++) {
			String self = "p" + relay;
			Set<String> linkedPeers = new HashSet<>(all);
			linkedPeers.remove(self);
			UncommittedEntries received = new UncommittedEntries(
					random.nextLong(RelaySettings.ADOPTION_JITTER.toMillis()));
			IntStream.range(0, entryCount)
				.forEach((turn) -> received.add(RelayFixture.settledTurn("t" + turn, null), "p0", 0));
			for (long now = 0; now <= 4_000; now += 80) {
				received.takeOverdue(self, linkedPeers, ALL, now).forEach((entry) -> appended.add(entry.request()));
			}
		}
		assertThat(appended).hasSize(entryCount);
	}

	// Guards against losing the second failure of a request with its relay.
	@Test
	void failuresOfOneRequestAtTwoUpstreamsAreBothTracked() {
		this.entries.add(new LedgerEntry.UpstreamFailed("r", 3, "u1"), "x", 0);
		this.entries.add(new LedgerEntry.UpstreamFailed("r", 3, "u2"), "x", 0);
		assertThat(this.entries.all()).hasSize(2);
		assertThat(this.entries.committed(new LedgerEntry.UpstreamFailed("r", 3, "u1"))).isFalse();
		assertThat(this.entries.committed(new LedgerEntry.UpstreamFailed("r", 3, "u2"))).isFalse();
	}

}
