package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetainedTurnsTests {

	private static final long MIN_AGE = 10_000;

	private static final long LOG_RETENTION = 20_000;

	private static final long RETENTION = 60_000;

	private final RetainedTurns turns = new RetainedTurns();

	@Test
	void turnIsNeededAsLongAsOneThatContinuesIt() {
		record("t1", null, 0, RETENTION);
		record("t2", "t1", 50_000, RETENTION);
		assertThat(due(100_000)).containsExactly("t1", "t2");
		assertThat(due(130_000)).isEmpty();
	}

	// Guards against forgetting a turn whose renewed record follows that of a turn that
	// continues it.
	@Test
	void turnIsNeededIfItIsReadAfterTheOneThatContinuesIt() {
		record("t3", "t2", 0, RETENTION);
		record("t2", "t1", 1_000, 0);
		record("t1", null, 2_000, 0);
		assertThat(due(50_000)).containsExactly("t3", "t2", "t1");
	}

	@Test
	void renewedTurnIsNotDueAgainAtOnce() {
		record("t1", null, 0, RETENTION);
		assertThat(due(MIN_AGE)).containsExactly("t1");
		record("t1", null, MIN_AGE, RETENTION - MIN_AGE);
		assertThat(due(MIN_AGE + 1)).isEmpty();
		assertThat(due(2 * MIN_AGE)).containsExactly("t1");
	}

	@Test
	void expiredTurnThatIsNotNeededIsForgotten() {
		record("t1", null, 0, 0);
		due(LOG_RETENTION);
		assertThat(this.turns.size()).isEqualTo(1);
		due(LOG_RETENTION + 1);
		assertThat(this.turns.size()).isZero();
	}

	@Test
	void numberOfTurnsIsBounded() {
		for (int i = 0; i <= RetainedTurns.MAX_TURNS; i++) {
			record("t" + i, null, i, RETENTION);
		}
		assertThat(this.turns.size()).isEqualTo(RetainedTurns.MAX_TURNS);
		assertThat(this.turns.find("t0")).isEmpty();
	}

	private void record(String request, String previous, long writtenAt, long retention) {
		TextLocation location = new TextLocation(Optional.ofNullable(previous), 9, 1, 1, Optional.empty(),
				Duration.ofMillis(retention), false);
		this.turns.record(new LedgerEntry.Settled(RunId.unnumbered(request), "p", 1, Optional.of(location)), location,
				writtenAt, retention);
	}

	private List<String> due(long now) {
		return this.turns.olderThan(now, MIN_AGE, LOG_RETENTION)
			.stream()
			.map((turn) -> turn.settled().request())
			.toList();
	}

}
