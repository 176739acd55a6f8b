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
	void turnIsSentWithItsWholeChain() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(
				new RelayEvent.TextsReceived(relay.now(), List.of(RelayFixture.turnText("t1", null, "in1;", "out1;"),
						RelayFixture.turnText("t2", "t1", "in2;", "out2;"))));
		RelayEffect.SendRequest send = sends(relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2")))
			.getFirst();
		assertThat(new String(send.prefix())).isEqualTo("in1;out1;in2;out2;");
	}

	// Guards against a turn whose text exceeds a log record: its stream would never
	// end, and the entries queued behind it would wait.
	@Test
	void turnThatExceedsALogRecordIsRefused() {
		RelayFixture relay = RelayFixture.ready();
		RequestHead head = RelayFixture.head("t1", "chat", Optional.of(RelayFixture.turn("p", 1000, 100, null)));
		assertThat(refusal(relay.sendRequest(head, "x".repeat(1001)))).contains(Refusal.TOO_LONG);
	}

	// Guards against refusing a turn, or running it without its history, while the
	// previous turn is still being replicated.
	@Test
	void turnWaitsForThePreviousText() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> first = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(sends(first)).isEmpty();
		assertThat(RelayFixture.ofType(first, RelayEffect.ReadLog.class)).hasSize(1);
		List<RelayEffect> received = relay.readFromPeer(RelayFixture.settledTurn("t1", null));
		assertThat(sends(received)).isEmpty();
		assertThat(RelayFixture.ofType(received, RelayEffect.ReadText.class)).hasSize(1);
		assertThat(sends(relay.handle(new RelayEvent.TextRead(relay.now(), "t1",
				Optional.of(RelayFixture.turnText("t1", null, "in;", "out;").text())))))
			.hasSize(1);
	}

	// Guards against refusing every turn of a conversation if the log is unreachable and
	// this relay is not a replica of the program.
	@Test
	void relayWithoutTheLogRequestsLocationsFromReplicas() {
		RelayFixture relay = RelayFixture.ready();
		List<Member> members = List.of(Member.of("a"), Member.of("b"), Member.of("c"));
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), members));
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		List<RelayEffect> requested = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(requested, RelayEffect.RequestTextLocations.class)).singleElement()
			.satisfies((request) -> {
				assertThat(request.peers()).containsExactlyInAnyOrder("a", "b", "c");
				assertThat(request.request()).isEqualTo("t2");
			});
		assertThat(RelayFixture.ofType(requested, RelayEffect.ReadLog.class)).isEmpty();
		TextLocation location = new TextLocation(Optional.empty(), 9, 5, 17, Optional.of("b"));
		List<RelayEffect> received = relay
			.handle(new RelayEvent.TextLocationsReceived(relay.now(), "a", List.of(new TurnLocation("t2", location))));
		assertThat(RelayFixture.ofType(received, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("b", List.of("t2")));
	}

	// Guards against refusing conversations that move between relays while the log is
	// slow.
	@Test
	void replicasAreAskedForLocationsWhileTheLogIsRead() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"))));
		List<RelayEffect> requested = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(requested, RelayEffect.RequestTextLocations.class)).hasSize(1);
		assertThat(RelayFixture.ofType(requested, RelayEffect.ReadLog.class)).hasSize(1);
	}

	@Test
	void locationsOfAChainAreSentOnRequest() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromPeer(RelayFixture.settledTurn("t1", null), RelayFixture.settledTurn("t2", "t1"));
		assertThat(relay.handle(new RelayEvent.TextLocationsRequested(relay.now(), "peer", "t2"))).containsExactly(
				new RelayEffect.SendTextLocations("peer", List.of(new TurnLocation("t2", RelayFixture.location("t1")),
						new TurnLocation("t1", RelayFixture.location(null)))));
		assertThat(relay.handle(new RelayEvent.TextLocationsRequested(relay.now(), "peer", "t9"))).isEmpty();
	}

	// Guards against reporting an unknown turn as nonexistent: it may exist where this
	// relay can't see it.
	@Test
	void turnWithAnUnknownChainIsRefusedAsUncertain() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.TURN_UNCERTAIN);
	}

	// Guards against losing a turn whose end the caller has seen.
	@Test
	void endOfAStoredTurnWaitsForTheLog() {
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
		assertThat(streamEnds(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1"))))).isEmpty();
		assertThat(streamEnds(relay.handle(textsStored(relay, "t1")))).hasSize(1);
	}

	// Guards against losing a turn that follows a quiet time of its relay: others have
	// appended to the partition, and a search from the published location would end
	// before
	// the text.
	@Test
	void endOfATurnFarBehindItsLocationWaitsForTheCorrection() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1")));
		List<RelayEffect> stored = relay
			.handle(new RelayEvent.TextsStored(relay.now(), Set.of("t1"), 500, 501, Duration.ofMillis(8)));
		assertThat(streamEnds(stored)).isEmpty();
		assertThat(RelayFixture.settled(stored).textLocation())
			.hasValueSatisfying((location) -> assertThat(location.minOffset()).isEqualTo(500));
		assertThat(streamEnds(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1"))))).isEmpty();
		assertThat(streamEnds(relay.handle(new RelayEvent.RenewalsStored(relay.now(), Set.of("t1"))))).hasSize(1);
	}

	// Guards against searching all texts that other relays have appended to the partition
	// since this relay's last one.
	@Test
	void locationFollowsThoseOfOtherRelaysInItsPartition() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("other"), "q", 10,
				Optional.of(new TextLocation(Optional.empty(), 9, RelayFixture.TEXT_PARTITION, 400))));
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("elsewhere"), "q", 10,
				Optional.of(new TextLocation(Optional.empty(), 9, RelayFixture.TEXT_PARTITION + 1, 900))));
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		assertThat(RelayFixture.settled(relay.end(1)).textLocation().map(TextLocation::minOffset)).contains(400L);
	}

	@Test
	void endOfAStoredTurnWaitsForItsSettlement() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		assertThat(streamEnds(relay.handle(textsStored(relay, "t1")))).isEmpty();
		assertThat(streamEnds(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1"))))).hasSize(1);
	}

	// Guards against ending a stream on in-memory copies alone, which the loss of all
	// relays would destroy.
	@Test
	void endOfATurnThatCannotBeWrittenHereWaitsForAPeer() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		List<RelayEffect> timedOut = relay.fireTimer(TimerKind.LOG_WRITE);
		assertThat(RelayFixture.ofType(timedOut, RelayEffect.RequestTurnWrite.class)).hasSize(1);
		assertThat(streamEnds(timedOut)).isEmpty();
		assertThat(streamEnds(relay.handle(new RelayEvent.TurnWritesAcknowledged(relay.now(), Set.of("t1")))))
			.hasSize(1);
	}

	// Guards against waiting for the log before peers are asked, when it is known to be
	// unreachable.
	@Test
	void relayWithoutTheLogSkipsTheWriteTimeout() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		List<RelayEffect.StartTimer> timers = RelayFixture.ofType(relay.end(1), RelayEffect.StartTimer.class);
		assertThat(timers).singleElement()
			.satisfies((timer) -> assertThat(timer.delay()).isEqualTo(RelaySettings.REPLICATION_DELAY));
	}

	@Test
	void turnIsWrittenForAPeerOnceAndAcknowledged() {
		RelayFixture relay = RelayFixture.ready();
		RelayEvent.TurnWriteRequested requested = turnWriteRequested(relay, "t1");
		List<RelayEffect> accepted = relay.handle(requested);
		assertThat(RelayFixture.settled(accepted).tokens()).isEqualTo(10);
		assertThat(RelayFixture.settled(accepted).textLocation().map(TextLocation::partition))
			.contains(RelayFixture.TEXT_PARTITION);
		assertThat(RelayFixture.ofType(accepted, RelayEffect.StoreText.class)).hasSize(1);
		assertThat(relay.handle(requested)).isEmpty();
		assertThat(relay.handle(new RelayEvent.SettlementsStored(relay.now(), Set.of("t1")))).isEmpty();
		assertThat(relay.handle(textsStored(relay, "t1")))
			.containsExactly(new RelayEffect.AcknowledgeTurnWrite("peer", "t1"));
	}

	// Guards against additional copies of each turn that slow the log down further.
	@Test
	void relayWithASlowLogWritesNoTurnsForPeers() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 20, 20, Duration.ofMillis(240)));
		assertThat(relay.handle(turnWriteRequested(relay, "t1"))).isEmpty();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 21, 21, Duration.ofMillis(9)));
		assertThat(relay.handle(turnWriteRequested(relay, "t1"))).isNotEmpty();
	}

	// Guards against looking up only one of several locations: any of them may be the
	// only one that is written.
	@Test
	void textIsReadFromAllKnownLocations() {
		RelayFixture relay = RelayFixture.ready();
		TextLocation own = new TextLocation(Optional.empty(), 9, 1, 10);
		TextLocation peers = new TextLocation(Optional.empty(), 9, 2, 20);
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10, Optional.of(own)));
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10, Optional.of(peers)));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class))
			.containsExactly(new RelayEffect.ReadText("t1", List.of(peers, own)));
	}

	// Guards against reading the log while the texts are in the memory of a peer, and
	// against waiting for a peer that does not respond.
	@Test
	void textIsRequestedFromItsOriginAndReadFromTheLogOnTimeout() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "sender"));
		relay.readFromPeer(RelayFixture.settledTurn("t1", null), RelayFixture.settledTurn("t2", "t1"));
		List<RelayEffect> effects = relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, "t2"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("sender", List.of("t2", "t1")));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class)).isEmpty();
		relay.handle(
				new RelayEvent.TextsReceived(relay.now(), List.of(RelayFixture.turnText("t2", "t1", "in2;", "out2;"))));
		List<RelayEffect> timedOut = relay.fireTimer(TimerKind.TEXT_FETCH);
		assertThat(RelayFixture.ofType(timedOut, RelayEffect.ReadText.class)).singleElement()
			.satisfies((read) -> assertThat(read.request()).isEqualTo("t1"));
		List<RelayEffect> read = relay.handle(new RelayEvent.TextRead(relay.now(), "t1",
				Optional.of(RelayFixture.turnText("t1", null, "in1;", "out1;").text())));
		assertThat(new String(sends(read).getFirst().prefix())).isEqualTo("in1;out1;in2;out2;");
	}

	// Guards against running a turn whose text location is unknown, so that no relay
	// could find the text.
	@Test
	void storedTurnsAreRefusedUntilTheTextOffsetIsKnown() {
		RelayFixture relay = RelayFixture.beforeTextOffset();
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class)).isEmpty();
		assertThat(refusal(relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null))))
			.contains(Refusal.NOT_READY);
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 10_000, 100, null)))).hasSize(1);
		assertThat(relay.handle(turnWriteRequested(relay, "t0"))).isEmpty();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 0, 0, Duration.ZERO));
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class))
			.containsExactly(new RelayEffect.ReportReadiness(true));
		assertThat(sends(relay.sendTurn("t3", "chat", RelayFixture.turn("p", 10_000, 100, null)))).hasSize(1);
	}

	@Test
	void textsInMemoryAreSentOnRequest() {
		RelayFixture relay = RelayFixture.ready();
		TurnText text = RelayFixture.turnText("t1", null, "in;", "out;");
		relay.handle(new RelayEvent.TextsReceived(relay.now(), List.of(text)));
		assertThat(relay.handle(new RelayEvent.TextsRequested(relay.now(), "peer", Set.of("t1", "t0"))))
			.containsExactly(new RelayEffect.SendTexts("peer", List.of(text)));
	}

	// Guards against refusing a turn while its texts are being read, which would use up
	// the retries of its caller.
	@Test
	void waitIsExtendedOnceForKnownTexts() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog(RelayFixture.settledTurn("t1", null));
		relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).isEmpty();
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.TURN_UNCERTAIN);
	}

	@Test
	void turnThatIsNotStoredInTimeIsAborted() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.DEADLINE), RelayEffect.AbortConnection.class))
			.hasSize(1);
	}

	// Guards against refusing to write turns for peers long after the log was last
	// slow.
	@Test
	void relayWhoseLogWasSlowLongAgoWritesTurnsForPeers() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.TextsStored(relay.now(), Set.of(), 20, 20, Duration.ofMillis(240)));
		relay.advance(Duration.ofMinutes(5).toMillis());
		assertThat(relay.handle(turnWriteRequested(relay, "t1"))).isNotEmpty();
	}

	// Guards against losing a pending turn when its text is evicted from the cache.
	@Test
	void turnWriteIsRequestedForAnEvictedText() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.end(1);
		relay.handle(new RelayEvent.TextsReceived(relay.now(),
				List.of(RelayFixture.turnText("other", null, "x".repeat(1_000_000), ""))));
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.LOG_WRITE), RelayEffect.RequestTurnWrite.class))
			.hasSize(1);
	}

	// Guards against uncommitted locations evicting a committed one: the uncommitted
	// writes may never reach the log.
	@Test
	void committedLocationIsNotEvictedByUncommittedOnes() {
		RelayFixture relay = RelayFixture.ready();
		TextLocation peers = new TextLocation(Optional.empty(), 9, 2, 20);
		relay.readFromLog(RelayFixture.settledTurn("t1", null));
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10, Optional.of(peers)));
		relay.readFromPeer(new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10,
				Optional.of(new TextLocation(Optional.empty(), 9, 6, 30))));
		relay.readFromPeer(new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 10,
				Optional.of(new TextLocation(Optional.empty(), 9, 7, 40))));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.ReadText.class)).singleElement()
			.satisfies((read) -> assertThat(read.locations()).contains(peers));
	}

	// Guards against a synchronization replacing the origin of a turn: the sender does
	// not have its text.
	@Test
	void originIsUnchangedWhenAnotherRelaySendsTheLocation() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "sender"));
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "other"));
		relay.readFromPeer(RelayFixture.settledTurn("t1", null));
		relay.handle(new RelayEvent.EntriesReceived(relay.now(), List.of(RelayFixture.settledTurn("t1", null)),
				Optional.of("other")));
		List<RelayEffect> effects = relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.RequestTexts.class))
			.containsExactly(new RelayEffect.RequestTexts("sender", List.of("t1")));
	}

	private static RelayEvent.TurnWriteRequested turnWriteRequested(RelayFixture relay, String request) {
		return new RelayEvent.TurnWriteRequested(relay.now(), "peer",
				new LedgerEntry.Settled(RunId.unnumbered(request), "p", 10, Optional.empty()),
				RelayFixture.turnText(request, null, "in;", "out;").text());
	}

	private static RelayEvent.TextsStored textsStored(RelayFixture relay, String request) {
		return new RelayEvent.TextsStored(relay.now(), Set.of(request), 5, 20, Duration.ofMillis(8));
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

	private static List<RelayEffect.EndStream> streamEnds(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.EndStream.class);
	}

	private static Optional<Refusal> refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class)
			.stream()
			.map(RelayEffect.Refuse::refusal)
			.findFirst();
	}

}
