package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.SoftwareVersion;
import io.lentilslip.core.relay.StreamAttempt;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.wire.relay.RelayCodec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryWriterTests {

	private static final TextLocation LOCATION = new TextLocation(Optional.empty(), 1, 2, 3);

	private final FakeStore store = new FakeStore();

	private final Set<String> storedTurns = new HashSet<>();

	private final List<Integer> dropped = new ArrayList<>();

	private final Set<String> storedRenewals = new HashSet<>();

	private final Map<RunId, Integer> storedAttempts = new HashMap<>();

	private int conditionalReservations;

	private final EntryWriter writer = new EntryWriter(this.store, this.store, new SplittableRandom(1),
			this.storedTurns::addAll, this.storedRenewals::addAll, this.storedAttempts::putAll,
			() -> this.conditionalReservations++, (succeeded) -> {
			}, this.dropped::add);

	@Test
	void settlementOfAStoredTurnFlushesTheQueue() {
		this.writer.write(settled("a", Optional.empty()));
		assertThat(this.store.appends).isEmpty();
		this.writer.write(settled("b", Optional.of(LOCATION)));
		assertThat(this.store.appends).hasSize(1);
		assertThat(this.store.appends.getFirst()).hasSize(2);
	}

	// Guards against taking the acknowledgement of a repeated settlement for that of the
	// first one.
	@Test
	void renewalsAreBatchedAndReportedApart() {
		TextLocation renewed = new TextLocation(Optional.empty(), 1, 2, 3, Optional.empty(), Duration.ZERO, true);
		this.writer.write(settled("a", Optional.of(renewed)));
		assertThat(this.store.appends).isEmpty();
		this.writer.flush();
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.storedTurns).isEmpty();
		assertThat(this.storedRenewals).containsExactly("a");
	}

	@Test
	void lastStoredAttemptOfAStreamIsReported() {
		this.writer.write(sent("a", 1));
		this.writer.write(sent("a", 2));
		this.store.advance(100);
		assertThat(this.storedAttempts).isEmpty();
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.storedAttempts).containsExactly(Map.entry(RunId.unnumbered("a"), 2));
	}

	private static LedgerEntry sent(String request, int attempt) {
		return new LedgerEntry.Reserved(RunId.unnumbered(request), "p", 1, "u", List.of(), false,
				Optional.of(new StreamAttempt(new SoftwareVersion("s", "v1"), attempt)));
	}

	@Test
	void otherEntriesAreBatched() {
		this.writer.write(settled("a", Optional.empty()));
		this.writer.write(settled("b", Optional.empty()));
		this.store.advance(100);
		assertThat(this.store.appends).hasSize(1);
		assertThat(this.store.appends.getFirst()).hasSize(2);
	}

	// The acknowledgement of a reservation must not acknowledge the settlement of its
	// turn: the caller would receive the end of a turn that is not in the log yet.
	@Test
	void reservationDoesNotAcknowledgeTheSettlement() {
		this.writer.write(new LedgerEntry.Reserved(RunId.unnumbered("a"), "p", 9, "u", List.of(), false));
		this.store.advance(100);
		this.writer.write(settled("a", Optional.of(LOCATION)));
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.storedTurns).isEmpty();
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(1));
		assertThat(this.storedTurns).containsExactly("a");
	}

	@Test
	void storedConditionalReservationIsReported() {
		this.writer.write(new LedgerEntry.Reserved(RunId.unnumbered("a"), "p", 9, "", List.of(), true));
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.conditionalReservations).isEqualTo(1);
		assertThat(this.storedTurns).isEmpty();
	}

	// After a lost response to an append, the entries must be appended again before later
	// ones, without being acknowledged first.
	@Test
	void appendWithUnknownOutcomeIsRetriedBeforeLaterEntries() {
		this.writer.write(settled("a", Optional.empty()));
		this.store.advance(100);
		this.writer.write(settled("b", Optional.empty()));
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Unknown("no response"));
		assertThat(this.storedTurns).isEmpty();
		this.store.advance(1000);
		assertThat(this.store.appends).hasSize(2);
		assertThat(decoded(1)).isEqualTo(decoded(0)).hasSize(1);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(this.store.appends).hasSize(3);
	}

	private List<LedgerEntry> decoded(int append) {
		return this.store.appends.get(append)
			.stream()
			.map((entry) -> RelayCodec.decodeEntry(entry).entry().get())
			.toList();
	}

	// After an outage, readers must see how long an entry was delayed. Entries appended
	// in time carry no delay.
	@Test
	void delayedEntryCarriesItsAppendDelay() {
		this.writer.write(settled("a", Optional.empty()));
		this.store.advance(100);
		assertThat(appendDelay(0)).isEqualTo(Duration.ZERO);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Rejected("status 503"));
		this.store.advance(5_000);
		assertThat(appendDelay(1)).isEqualTo(Duration.ofMillis(5_100));
		this.writer.write(settled("b", Optional.empty()));
		this.store.advance(3_000);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		assertThat(appendDelay(2)).isEqualTo(Duration.ofSeconds(3));
	}

	private Duration appendDelay(int append) {
		return RelayCodec.decodeEntry(this.store.appends.get(append).getFirst())
			.timestamp()
			.orElseThrow()
			.appendDelay();
	}

	// After a reconnect, unacknowledged entries are replicated again, whether queued or
	// in flight.
	@Test
	void entriesAreUnacknowledgedUntilStored() {
		LedgerEntry first = settled("a", Optional.empty());
		LedgerEntry second = settled("b", Optional.empty());
		this.writer.write(first);
		this.store.advance(100);
		this.writer.write(second);
		assertThat(this.writer.unacknowledged()).containsExactly(first, second);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(0));
		this.store.advance(100);
		assertThat(this.writer.unacknowledged()).containsExactly(second);
		this.store.appendCallbacks.poll().accept(new Store.AppendResult.Success(1));
		assertThat(this.writer.unacknowledged()).isEmpty();
	}

	// Beyond 24 MiB the oldest entries are dropped, and the number of them must be
	// reported.
	@Test
	void entriesBeyondTheSizeLimitAreDroppedAndReported() {
		int mebibyte = 1024 * 1024;
		this.writer.write(large("a", 1));
		this.writer.write(large("b", 1));
		this.writer.write(large("c", 1));
		this.writer.write(large("d", 12 * mebibyte));
		this.writer.write(large("e", 11 * mebibyte));
		assertThat(this.dropped).isEmpty();
		this.writer.write(large("f", mebibyte));
		assertThat(this.dropped).containsExactly(3);
		assertThat(this.writer.unacknowledged()).extracting(LedgerEntry::request).containsExactly("a", "e", "f");
	}

	private static LedgerEntry large(String request, int bytes) {
		return new LedgerEntry.Settled(RunId.unnumbered(request), "p".repeat(bytes), 1, Optional.of(LOCATION));
	}

	private static LedgerEntry settled(String request, Optional<TextLocation> text) {
		return new LedgerEntry.Settled(RunId.unnumbered(request), "p", 1, text);
	}

}
