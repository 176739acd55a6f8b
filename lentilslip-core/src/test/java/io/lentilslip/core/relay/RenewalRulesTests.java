package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RenewalRulesTests {

	private static final Duration PAUSE = Duration.ofSeconds(6);

	private final RetentionSite site = new RetentionSite(3);

	// Guards against losing a conversation that lasts longer than the log keeps records.
	@Test
	void longConversationContinuesAfterTheRestartOfItsRelay() {
		runConversation(12, 0);
		this.site.restart(0);
		assertThat(this.site.runTurn(1, "next", "t12")).contains(prefix(12));
		assertThat(this.site.runTurn(0, "other", "t12")).contains(prefix(12));
	}

	@Test
	void longConversationContinuesAfterTheLossOfAllRelays() {
		runConversation(12, 0);
		this.site.restart(0, 1, 2);
		assertThat(this.site.runTurn(2, "next", "t12")).contains(prefix(12));
	}

	@Test
	void conversationThatMovesBetweenRelaysContinuesAfterTheLossOfAllRelays() {
		runConversation(12, 1);
		this.site.restart(0, 1, 2);
		assertThat(this.site.runTurn(0, "next", "t12")).contains(prefix(12));
	}

	// Guards against a second loss that meets records which nobody has renewed since the
	// first one.
	@Test
	void conversationContinuesAfterRepeatedLossesOfAllRelays() {
		runConversation(4, 0);
		for (int i = 0; i < 4; i++) {
			this.site.restart(0, 1, 2);
			this.site.advance(Duration.ofSeconds(12));
		}
		this.site.restart(0, 1, 2);
		assertThat(this.site.runTurn(1, "next", "t4")).contains(prefix(4));
	}

	// Guards against losing a turn that is retained longer than the log keeps records,
	// though nothing has continued it yet.
	@Test
	void idleTurnIsRetainedLongerThanTheLogKeepsRecords() {
		this.site.runTurn(0, "t1", null);
		this.site.advance(Duration.ofSeconds(58));
		this.site.restart(0, 1, 2);
		assertThat(this.site.runTurn(1, "next", "t1")).contains(prefix(1));
	}

	@Test
	void olderTurnOfALongConversationCanBeContinued() {
		runConversation(12, 0);
		this.site.restart(0, 1, 2);
		assertThat(this.site.runTurn(1, "branch", "t7")).contains(prefix(7));
	}

	// Guards against renewals that end with the relay that ran the turns.
	@Test
	void replicasRenewTurnsOfARelayThatIsGone() {
		runConversation(3, 0, 2);
		this.site.removeLast();
		this.site.advance(Duration.ofSeconds(30));
		this.site.restart(0, 1);
		assertThat(this.site.runTurn(0, "next", "t3")).contains(prefix(3));
	}

	// Guards against renewals that delay the turns that callers resume after a full
	// restart.
	@Test
	void restartedRelayRenewsFewTextsAtATimeAndNotAtOnce() {
		RelayFixture relay = RelayFixture.readyAfterRestart();
		for (int i = 0; i < 20; i++) {
			relay.readFromLog(Duration.ofSeconds(12),
					new LedgerEntry.Settled(RunId.unnumbered("t" + i), "p", 10,
							Optional.of(new TextLocation(Optional.empty(), 9, 5, 17, Optional.empty(),
									Duration.ofSeconds(60), false))));
		}
		relay.advance(2_400);
		assertThat(reads(relay)).isZero();
		relay.advance(200);
		assertThat(reads(relay)).isEqualTo(4);
	}

	// Guards against copies that displace the texts of running turns while none can be
	// appended.
	@Test
	void textsThatAreNotStoredAreNotQueuedWithoutLimit() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 600; i++) {
			relay.handle(new RelayEvent.TextsReceived(relay.now(),
					List.of(RelayFixture.turnText("t" + i, null, "in;", "out;"))));
			relay.readFromLog(Duration.ofSeconds(12),
					new LedgerEntry.Settled(RunId.unnumbered("t" + i), "p", 10,
							Optional.of(new TextLocation(Optional.empty(), 7, 5, 17, Optional.empty(),
									Duration.ofSeconds(60), false))));
		}
		int queued = 0;
		for (int round = 0; round < 10; round++) {
			relay.advance(600);
			queued += RelayFixture
				.ofType(relay.handle(new RelayEvent.RenewalRoundStarted(relay.now())), RelayEffect.StoreText.class)
				.size();
		}
		assertThat(queued).isEqualTo(256);
	}

	private static int reads(RelayFixture relay) {
		return RelayFixture
			.ofType(relay.handle(new RelayEvent.RenewalRoundStarted(relay.now())), RelayEffect.ReadText.class)
			.size();
	}

	// Guards against appending texts for ever.
	@Test
	void turnIsNotRenewedOnceItIsNotRetained() {
		this.site.runTurn(0, "t1", null);
		this.site.advance(Duration.ofSeconds(70));
		long stored = this.site.storedBytes();
		this.site.advance(Duration.ofSeconds(60));
		assertThat(this.site.storedBytes()).isEqualTo(stored);
	}

	// Guards against each relay appending the same text.
	@Test
	void turnIsRenewedByOneRelayAtATime() {
		this.site.runTurn(0, "t1", null);
		long once = this.site.storedBytes();
		this.site.advance(Duration.ofSeconds(15));
		assertThat(this.site.storedBytes()).isEqualTo(2 * once);
	}

	// Guards against granting the budget of a long program again.
	@Test
	void usageOfALongProgramOutlivesALossOfAllRelays() {
		for (int i = 0; i < 12; i++) {
			this.site.runUnstoredTurn(i % 3, "t" + i);
			this.site.advance(PAUSE);
		}
		this.site.restart(0, 1, 2);
		assertThat(this.site.usedTokens(1)).isEqualTo(12 * RelayFixture.TOKENS_PER_EVENT);
	}

	@Test
	void usageOfAnIdleProgramOutlivesRepeatedLossesOfAllRelays() {
		this.site.runUnstoredTurn(0, "t1");
		for (int i = 0; i < 4; i++) {
			this.site.advance(Duration.ofSeconds(13));
			this.site.restart(0, 1, 2);
		}
		assertThat(this.site.usedTokens(1)).isEqualTo(RelayFixture.TOKENS_PER_EVENT);
	}

	// A relay that ended in the middle of a turn has handed out an unknown number of its
	// tokens.
	@Test
	void reservationOfAnInterruptedTurnOutlivesALossOfAllRelays() {
		this.site.startUnstoredTurn(0, "t1");
		this.site.advance(Duration.ofSeconds(30));
		this.site.restart(0, 1, 2);
		assertThat(this.site.usedTokens(1)).isEqualTo(RetentionSite.MAX_TOKENS);
	}

	// Guards against forgetting usage that is read from the log before the configuration.
	@Test
	void usageThatIsReadBeforeTheRoutesIsRenewed() {
		RelayFixture relay = RelayFixture.unconfiguredAfterRestart();
		relay.readFromLog(Duration.ofSeconds(12),
				new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10, Optional.empty()));
		relay.handle(RelayFixture.caughtUp(relay.now()));
		relay.advance(2_500);
		assertThat(renewed(relay)).isEmpty();
		relay.handle(new RelayEvent.RouteTableUpdated(relay.now(), RelayFixture.table()));
		assertThat(renewed(relay)).containsExactly(new LedgerEntry.UsageRenewed("p",
				Map.of(RunId.unnumbered("t1"), new TurnTokens(10, false)), Duration.ofMillis(60_000 - 14_500)));
	}

	// Guards against an entry of a long program that no record of the log can hold.
	@Test
	void usageOfManyTurnsIsRenewedInSeveralEntries() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 2_500; i++) {
			relay.readFromLog(Duration.ofSeconds(12),
					new LedgerEntry.Settled(RunId.unnumbered("t" + i), "p", 1, Optional.empty()));
		}
		relay.advance(2_500);
		List<Integer> turns = renewed(relay).stream()
			.map(LedgerEntry.UsageRenewed.class::cast)
			.map((entry) -> entry.turns().size())
			.toList();
		assertThat(turns).containsExactly(1_000, 1_000, 500);
	}

	private static List<LedgerEntry> renewed(RelayFixture relay) {
		return RelayFixture.written(relay.handle(new RelayEvent.RenewalRoundStarted(relay.now())));
	}

	@Test
	void usageIsNotRenewedOnceItIsNotRetained() {
		this.site.runUnstoredTurn(0, "t1");
		this.site.advance(Duration.ofSeconds(100));
		int entries = this.site.entryCount();
		this.site.advance(Duration.ofSeconds(60));
		assertThat(this.site.entryCount()).isEqualTo(entries);
	}

	private void runConversation(int turns, int step) {
		runConversation(turns, step, 0);
	}

	private void runConversation(int turns, int step, int first) {
		for (int i = 1; i <= turns; i++) {
			String previous = (i > 1) ? "t" + (i - 1) : null;
			assertThat(this.site.runTurn((first + i * step) % 3, "t" + i, previous))
				.isEqualTo(Optional.of(prefix(i - 1)));
			this.site.advance(PAUSE);
		}
	}

	private static String prefix(int turns) {
		StringBuilder prefix = new StringBuilder();
		for (int i = 1; i <= turns; i++) {
			prefix.append("input of t").append(i).append(";piece 1\n");
		}
		return prefix.toString();
	}

}
