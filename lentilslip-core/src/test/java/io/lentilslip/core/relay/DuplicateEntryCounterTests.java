package io.lentilslip.core.relay;

import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.LogCopies.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DuplicateEntryCounterTests {

	private final DuplicateEntryCounter counter = new DuplicateEntryCounter();

	@Test
	void duplicatesAreCountedByKindAndDrained() {
		LedgerEntry settled = RelayFixture.settledTurn("t", null);
		this.counter.add(settled);
		this.counter.add(settled);
		this.counter.add(new LedgerEntry.Reserved(RunId.unnumbered("t"), "p", 7, "", List.of(), false));
		assertThat(this.counter.drain()).containsExactly(new Measurement.LogCopies(Kind.RESERVED, 1),
				new Measurement.LogCopies(Kind.SETTLED, 2));
		assertThat(this.counter.drain()).isEmpty();
		this.counter.add(new LedgerEntry.UpstreamFailed("t", 1, "u"));
		assertThat(this.counter.drain()).containsExactly(new Measurement.LogCopies(Kind.BLAMED, 1));
	}

}
