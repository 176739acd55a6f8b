package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TextRulesTests {

	@Test
	void turnIsGivenItsWholeChain() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(
				new RelayEvent.TextsReceived(relay.now(), List.of(RelayFixture.turnText("t1", null, "in1;", "out1;"),
						RelayFixture.turnText("t2", "t1", "in2;", "out2;"))));
		RelayEffect.SendRequest send = sends(relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2")))
			.getFirst();
		assertThat(new String(send.prefix())).isEqualTo("in1;out1;in2;out2;");
	}

	// A caller sends a turn that no record of the log can hold. Run, its end would wait
	// for ever, and every entry behind it.
	@Test
	void turnThatNoRecordHoldsIsRefused() {
		RelayFixture relay = RelayFixture.ready();
		RequestHead head = RelayFixture.head("t1", "chat", Optional.of(RelayFixture.turn("p", 1000, 100, null)));
		assertThat(refusal(relay.sendRequest(head, "x".repeat(1001)))).contains(Refusal.TOO_LONG);
	}

	// The turn before ended at another relay a moment ago, and word of it is on the way
	// here: the request waits for it, and is neither refused nor run without its text.
	@Test
	void turnWaitsForTheTextBeforeIt() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> first = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(sends(first)).isEmpty();
		assertThat(RelayFixture.ofType(first, RelayEffect.ReadLog.class)).hasSize(1);
		List<RelayEffect> told = relay.readFromPeer(RelayFixture.settledTurn("t1", null));
		assertThat(sends(told)).isEmpty();
		assertThat(RelayFixture.ofType(told, RelayEffect.ReadText.class)).hasSize(1);
		assertThat(sends(relay.handle(new RelayEvent.TextRead(relay.now(), "t1",
				Optional.of(RelayFixture.turnText("t1", null, "in;", "out;").text())))))
			.hasSize(1);
	}

	// The store turns this relay away, and the turn before ended at another relay a
	// moment
	// ago. Nobody tells this one of turns that it does not keep, so it asks those who do:
	// refused as uncertain over and over, the conversation would end here.
	@Test
	void relayWithoutTheLogAsksTheKeepersWhereATextIs() {
		RelayFixture relay = RelayFixture.ready();
		List<Member> members = List.of(Member.of("a"), Member.of("b"), Member.of("c"));
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), members));
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		List<RelayEffect> asked = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(asked, RelayEffect.RequestTextLocations.class)).singleElement()
			.satisfies((ask) -> {
				assertThat(ask.peers()).containsExactlyInAnyOrder("a", "b", "c");
				assertThat(ask.request()).isEqualTo("t2");
			});
		assertThat(RelayFixture.ofType(asked, RelayEffect.ReadLog.class)).isEmpty();
		TextLocation place = new TextLocation(Optional.empty(), 9, 5, 17, Optional.of("b"));
		List<RelayEffect> told = relay
			.handle(new RelayEvent.TextLocationsReceived(relay.now(), "a", List.of(new TurnLocation("t2", place))));
		assertThat(RelayFixture.ofType(told, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("b", List.of("t2")));
	}

	// The store takes a quarter of a second for an answer. The turn before ended at
	// another
	// relay a moment ago, and a turn waits for its chain a fifth of its target: read from
	// the log alone, each conversation that moves would be refused while the store is
	// slow.
	@Test
	void keepersAreAskedWhereATextIsWhileTheLogIsRead() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"))));
		List<RelayEffect> asked = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(asked, RelayEffect.RequestTextLocations.class)).hasSize(1);
		assertThat(RelayFixture.ofType(asked, RelayEffect.ReadLog.class)).hasSize(1);
	}

	@Test
	void keeperTellsWhereTheTextsOfAChainAre() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromPeer(RelayFixture.settledTurn("t1", null), RelayFixture.settledTurn("t2", "t1"));
		assertThat(relay.handle(new RelayEvent.TextLocationsRequested(relay.now(), "peer", "t2"))).containsExactly(
				new RelayEffect.SendTextLocations("peer", List.of(new TurnLocation("t2", RelayFixture.location("t1")),
						new TurnLocation("t1", RelayFixture.location(null)))));
		assertThat(relay.handle(new RelayEvent.TextLocationsRequested(relay.now(), "peer", "t9"))).isEmpty();
	}

	// The turn before is not found in time. It may exist where this relay can't see it,
	// so
	// the caller is told to come back, never that there is none.
	@Test
	void turnWhoseChainIsNotFoundIsCalledUncertain() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.TURN_UNCERTAIN);
	}

	// A relay that dies right after a caller saw the end of a turn must not take the turn
	// with it: the end is passed on when the log has the turn.
	@Test
	void endOfAKeptTurnWaitsForTheLog() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		assertThat(RelayFixture.ofType(relay.event(1, 1), RelayEffect.ForwardStreamEvent.class)).hasSize(1);
		List<RelayEffect> atEnd = relay.end(1);
		assertThat(RelayFixture.ofType(atEnd, RelayEffect.EndStream.class)).isEmpty();
		assertThat(RelayFixture.ofType(atEnd, RelayEffect.StoreText.class)).singleElement()
			.satisfies((store) -> assertThat(new String(store.text().output())).isEqualTo("piece 1\n"));
		assertThat(RelayFixture.settled(atEnd).textLocation().map(TextLocation::partition))
			.contains(RelayFixture.TEXT_PARTITION);
		assertThat(ends(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1"))))).isEmpty();
		assertThat(ends(relay.handle(textsStored(relay, "t1")))).hasSize(1);
	}

	@Test
	void endOfAKeptTurnWaitsForTheEntryThatTellsWhereItsTextIs() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		assertThat(ends(relay.handle(textsStored(relay, "t1")))).isEmpty();
		assertThat(ends(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1"))))).hasSize(1);
	}

	// The store turns this relay away and serves others. The turn's end waits for the log
	// all the same: on copies in memory alone, the loss of all relays would lose it. The
	// others are asked to write it, and say when it is written.
	@Test
	void endOfAKeptTurnThatCannotBeWrittenHereWaitsForHelp() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		List<RelayEffect> due = relay.fireTimer(TimerKind.LOG_WRITE);
		assertThat(RelayFixture.ofType(due, RelayEffect.RequestTurnWrite.class)).hasSize(1);
		assertThat(ends(due)).isEmpty();
		assertThat(ends(relay.handle(new RelayEvent.TurnWritesAcknowledged(relay.now(), Set.of("t1"))))).hasSize(1);
	}

	// Where the relay knows already that it does not reach the log, nothing is gained by
	// trying alone first: the caller waits for the end all the while.
	@Test
	void relayWithoutTheLogAsksForHelpAtOnce() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		List<RelayEffect.StartTimer> reminds = RelayFixture.ofType(relay.end(1), RelayEffect.StartTimer.class);
		assertThat(reminds).singleElement()
			.satisfies((remind) -> assertThat(remind.delay()).isEqualTo(RelaySettings.REPLICATION_DELAY));
	}

	@Test
	void helpIsGivenOnceAndTold() {
		RelayFixture relay = RelayFixture.ready();
		RelayEvent.TurnWriteRequested asked = helpAsked(relay, "t1");
		List<RelayEffect> helping = relay.handle(asked);
		assertThat(RelayFixture.settled(helping).tokens()).isEqualTo(10);
		assertThat(RelayFixture.settled(helping).textLocation().map(TextLocation::partition))
			.contains(RelayFixture.TEXT_PARTITION);
		assertThat(RelayFixture.ofType(helping, RelayEffect.StoreText.class)).hasSize(1);
		assertThat(relay.handle(asked)).isEmpty();
		assertThat(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1")))).isEmpty();
		assertThat(relay.handle(textsStored(relay, "t1")))
			.containsExactly(new RelayEffect.AcknowledgeTurnWrite("peer", "t1"));
	}

	// The log is slow for all. Relays that are asked for help would write each turn twice
	// more, and the log would be slower still.
	@Test
	void relayWhoseLogIsSlowGivesNoHelp() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 20, Duration.ofMillis(240)));
		assertThat(relay.handle(helpAsked(relay, "t1"))).isEmpty();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 21, Duration.ofMillis(9)));
		assertThat(relay.handle(helpAsked(relay, "t1"))).isNotEmpty();
	}

	// A relay that helped has another place for the text than its own relay had told
	// before. Either may be the only one that the log has in the end, so both are looked
	// at.
	@Test
	void textIsLookedForAtAllPlacesThatWereTold() {
		RelayFixture relay = RelayFixture.ready();
		TextLocation own = new TextLocation(Optional.empty(), 9, 1, 10);
		TextLocation helpers = new TextLocation(Optional.empty(), 9, 2, 20);
		relay.readFromLog(new LedgerEntry.Settled("t1", "p", 10, Optional.of(own)));
		relay.readFromLog(new LedgerEntry.Settled("t1", "p", 10, Optional.of(helpers)));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class))
			.containsExactly(new RelayEffect.ReadText("t1", List.of(helpers, own)));
	}

	// The relay that ran the turn before has its text in memory, and sends it in a part
	// of
	// the time that the log takes. Where it does not, the log is read.
	@Test
	void textIsAskedOfTheRelayThatRanItsTurnAndReadFromTheLogIfItDoesNotAnswer() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "teller"));
		relay.readFromPeer(RelayFixture.settledTurn("t1", null), RelayFixture.settledTurn("t2", "t1"));
		List<RelayEffect> effects = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("teller", List.of("t2", "t1")));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class)).isEmpty();
		relay.handle(
				new RelayEvent.TextsReceived(relay.now(), List.of(RelayFixture.turnText("t2", "t1", "in2;", "out2;"))));
		List<RelayEffect> due = relay.fireTimer(TimerKind.TEXT_FETCH);
		assertThat(RelayFixture.ofType(due, RelayEffect.ReadText.class)).singleElement()
			.satisfies((read) -> assertThat(read.request()).isEqualTo("t1"));
		List<RelayEffect> read = relay.handle(new RelayEvent.TextRead(relay.now(), "t1",
				Optional.of(RelayFixture.turnText("t1", null, "in1;", "out1;").text())));
		assertThat(new String(sends(read).getFirst().prefix())).isEqualTo("in1;out1;in2;out2;");
	}

	// A relay has started and has not heard yet where its partition of the texts ends. It
	// could not say where the text of a turn is, and nobody would find it: so it is not
	// ready, and refuses turns whose texts are kept, as not run.
	@Test
	void relayThatDoesNotKnowWhereItsTextsGoTakesNoTurnsWhoseTextsAreKept() {
		RelayFixture relay = RelayFixture.beforeTextOffset();
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class)).isEmpty();
		assertThat(refusal(relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null))))
			.contains(Refusal.NOT_READY);
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 10_000, 100, null)))).hasSize(1);
		assertThat(relay.handle(helpAsked(relay, "t0"))).isEmpty();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 0, Duration.ZERO));
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class))
			.containsExactly(new RelayEffect.ReportReadiness(true));
		assertThat(sends(relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, null)))).hasSize(1);
	}

	@Test
	void relayThatRanATurnSendsItsTextToWhoAsks() {
		RelayFixture relay = RelayFixture.ready();
		TurnText text = RelayFixture.turnText("t1", null, "in;", "out;");
		relay.handle(new RelayEvent.TextsReceived(relay.now(), List.of(text)));
		assertThat(relay.handle(new RelayEvent.TextsRequested(relay.now(), "peer", Set.of("t1", "t0"))))
			.containsExactly(new RelayEffect.SendTexts("peer", List.of(text)));
	}

	// All relays were lost, and the texts of a chain are read from the log, which takes
	// longer than a turn waits for one that may not exist. Refused, its caller would use
	// up
	// its tries while the texts are on their way.
	@Test
	void turnWhoseTextsAreOnTheWayIsWaitedForLonger() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog(RelayFixture.settledTurn("t1", null));
		relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).isEmpty();
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.TURN_UNCERTAIN);
	}

	@Test
	void turnThatIsNotStoredInTimeIsBrokenOff() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.DEADLINE), RelayEffect.AbortConnection.class))
			.hasSize(1);
	}

	// The log was slow for this relay once, and it has kept no turn since. Minutes later
	// the store turns another relay away, which asks for help. Refused by all that had a
	// slow moment, the end of its turn would never be passed on.
	@Test
	void relayWhoseLogWasSlowLongAgoGivesHelp() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 20, Duration.ofMillis(240)));
		relay.advance(Duration.ofMinutes(5).toMillis());
		assertThat(relay.handle(helpAsked(relay, "t1"))).isNotEmpty();
	}

	// Memory is full and the text of a turn that waits for the log leaves it. The store
	// still turns this relay away: help is asked for all the same, since the caller waits
	// for the end.
	@Test
	void helpIsAskedForATurnWhoseTextLeftMemory() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		relay.handle(new RelayEvent.TextsReceived(relay.now(),
				List.of(RelayFixture.turnText("other", null, "x".repeat(1_000_000), ""))));
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.LOG_WRITE), RelayEffect.RequestTurnWrite.class))
			.hasSize(1);
	}

	// One relay wrote the turn for the one that ran it, and the log shows both entries.
	// Two that were asked as well tell their places, and die before the log has a text
	// there. The caller saw the end, so the place that has the text must not be
	// forgotten.
	@Test
	void placeThatTheLogShowsIsNotForgottenForPlacesThatWereOnlyTold() {
		RelayFixture relay = RelayFixture.ready();
		TextLocation helpers = new TextLocation(Optional.empty(), 9, 2, 20);
		relay.readFromLog(RelayFixture.settledTurn("t1", null));
		relay.readFromLog(new LedgerEntry.Settled("t1", "p", 10, Optional.of(helpers)));
		relay.readFromPeer(
				new LedgerEntry.Settled("t1", "p", 10, Optional.of(new TextLocation(Optional.empty(), 9, 6, 30))));
		relay.readFromPeer(
				new LedgerEntry.Settled("t1", "p", 10, Optional.of(new TextLocation(Optional.empty(), 9, 7, 40))));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class)).singleElement()
			.satisfies((read) -> assertThat(read.locations()).contains(helpers));
	}

	// A link is made anew, and its relay tells all that the log has not shown, turns of
	// others among it. Who ran a turn stays known: the other one has no text of it.
	@Test
	void textIsAskedOfTheRelayThatRanItsTurnAfterAnotherToldOfItToo() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "teller"));
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "other"));
		relay.readFromPeer(RelayFixture.settledTurn("t1", null));
		relay.handle(new RelayEvent.EntriesReceived(relay.now(), List.of(RelayFixture.settledTurn("t1", null)),
				Optional.of("other")));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("teller", List.of("t1")));
	}

	private static RelayEvent.TurnWriteRequested helpAsked(RelayFixture relay, String request) {
		return new RelayEvent.TurnWriteRequested(relay.now(), "peer",
				new LedgerEntry.Settled(request, "p", 10, Optional.empty()),
				RelayFixture.turnText(request, null, "in;", "out;").text());
	}

	private static RelayEvent.TextsStored textsStored(RelayFixture relay, String request) {
		return new RelayEvent.TextsStored(relay.now(), Set.of(request), 20, Duration.ofMillis(8));
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

	private static List<RelayEffect.EndStream> ends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.EndStream.class);
	}

	private static Optional<Refusal> refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class)
			.stream()
			.map(RelayEffect.Refuse::refusal)
			.findFirst();
	}

}
