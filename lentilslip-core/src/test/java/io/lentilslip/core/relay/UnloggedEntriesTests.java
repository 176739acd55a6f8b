package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnloggedEntriesTests {

	private final UnloggedEntries entries = new UnloggedEntries(0);

	private final LedgerEntry entry = RelayFixture.kept("t", null, "in", "out");

	@Test
	void entryIsOverdueOnceTheLogHadItsTime() {
		this.entries.told(this.entry, 0);
		assertThat(this.entries.overdue(1_499)).isEmpty();
		assertThat(this.entries.overdue(1_500)).containsExactly(this.entry);
		assertThat(this.entries.overdue(9_000)).isEmpty();
	}

	// The log shows an entry before the link brings it. Kept then, it would be written a
	// second time by every relay.
	@Test
	void entryThatTheLogShowedFirstIsNotKept() {
		this.entries.logged(this.entry);
		this.entries.told(this.entry, 0);
		assertThat(this.entries.size()).isZero();
	}

	@Test
	void entryIsACopyOnceTheLogHasShownOneOfItsRequestAndKind() {
		LedgerEntry reserved = new LedgerEntry.Reserved("t", "p", 7, "", List.of(), false);
		assertThat(this.entries.logged(this.entry)).isFalse();
		assertThat(this.entries.logged(reserved)).isFalse();
		assertThat(this.entries.logged(this.entry)).isTrue();
		assertThat(this.entries.logged(this.entry)).isTrue();
	}

	@Test
	void timeBeginsAnewWhenTheLogIsBack() {
		this.entries.told(this.entry, 0);
		this.entries.logBack(5_000);
		assertThat(this.entries.overdue(6_000)).isEmpty();
		assertThat(this.entries.overdue(6_500)).hasSize(1);
	}

	@Test
	void onlyTheEndOfATurnIsFoundByItsRequest() {
		this.entries.told(new LedgerEntry.Blamed("b", 1, "u"), 0);
		this.entries.told(this.entry, 0);
		assertThat(this.entries.turn("t")).contains(this.entry);
		assertThat(this.entries.turn("b")).isEmpty();
	}

	// A relay that starts is told by all others what the log has not shown. With the text
	// of turns this would be megabytes from each, over the smallest link of the site.
	@Test
	void entriesThatCountTokensAreFoundByTheirProgramWithoutTexts() {
		LedgerEntry reserved = new LedgerEntry.Reserved("r", "p", 7, "", List.of(), false);
		LedgerEntry settled = new LedgerEntry.Settled("s", "p", 5, Optional.empty());
		LedgerEntry other = new LedgerEntry.Settled("o", "q", 5, Optional.empty());
		List.of(reserved, RelayFixture.kept("k", null, "in", "out"), settled, other)
			.forEach((entry) -> this.entries.told(entry, 0));
		assertThat(this.entries.of("p")).containsExactly(reserved, settled);
		assertThat(this.entries.all()).containsExactly(reserved, settled, other);
	}

}
