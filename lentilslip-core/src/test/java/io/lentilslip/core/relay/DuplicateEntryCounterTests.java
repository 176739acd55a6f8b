package io.lentilslip.core.relay;

import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.LogCopies.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DuplicateEntryCounterTests {

	private final DuplicateEntryCounter copies = new DuplicateEntryCounter();

	@Test
	void copiesAreTakenOnceByTheirKind() {
		LedgerEntry settled = RelayFixture.settledTurn("t", null);
		this.copies.add(settled);
		this.copies.add(settled);
		this.copies.add(new LedgerEntry.Reserved("t", "p", 7, "", List.of(), false));
		assertThat(this.copies.drain()).containsExactly(new Measurement.LogCopies(Kind.RESERVED, 1),
				new Measurement.LogCopies(Kind.SETTLED, 2));
		assertThat(this.copies.drain()).isEmpty();
		this.copies.add(new LedgerEntry.UpstreamFailed("t", 1, "u"));
		assertThat(this.copies.drain()).containsExactly(new Measurement.LogCopies(Kind.BLAMED, 1));
	}

}
