package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.notice.NoticeField;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelayTests {

	@Test
	void requestBeforeAnythingIsKnownIsRefusedAsNotRun() {
		RelayFixture relay = RelayFixture.unconfigured();
		List<RelayEffect> effects = relay.sendRequest("r1", "look");
		assertThat(refusal(effects)).contains(Refusal.NOT_READY);
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().retryAfter()).isPresent();
	}

	@Test
	void readinessFollowsTableUpstreamsLogAndTexts() {
		RelayFixture relay = RelayFixture.unconfigured();
		relay.handle(new RelayEvent.RouteTableUpdated(1, RelayFixture.table()));
		relay.handle(new RelayEvent.UpstreamsReplaced(1, List.of()));
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class)).isEmpty();
		relay.handle(RelayFixture.caughtUp(1));
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class)).isEmpty();
		relay.handle(RelayFixture.textOffsetKnown(1));
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class))
			.containsExactly(new RelayEffect.ReportReadiness(true));
	}

	// A relay has started and has not read yet who the others are, of whom three keep
	// each
	// program. Deciding alone, it would give what they give as well.
	@Test
	void relayThatDoesNotKnowTheOthersYetTakesNoTurns() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		RelayEffect.Refuse refused = refuse(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)));
		assertThat(refused.refusal()).isEqualTo(Refusal.NOT_READY);
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("own"))));
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 1000, 100, null)))).hasSize(1);
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class))
			.containsExactly(new RelayEffect.ReportReadiness(false), new RelayEffect.ReportReadiness(true));
	}

	// All relays were lost and read the log from its first record. The caller of a turn
	// has
	// a few tries: told to come back when the log may be read, it does not waste them.
	@Test
	void callerOfATurnIsToldToComeBackWhenTheLogMayBeRead() {
		RelayFixture relay = RelayFixture.unconfigured();
		RelayEffect.Refuse turn = refuse(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)));
		RelayEffect.Refuse call = refuse(relay.sendRequest("r1", "look"));
		assertThat(turn.retryAfter()).contains(RelaySettings.RETRY_AFTER_LOG_READ);
		assertThat(call.retryAfter()).contains(RelaySettings.RETRY_AFTER_RECOVERY);
	}

	@Test
	void unknownRouteIsRefused() {
		RelayFixture relay = RelayFixture.ready();
		assertThat(refusal(relay.sendRequest("r1", "nowhere"))).contains(Refusal.NO_ROUTE);
	}

	@Test
	void olderTableChangesNothing() {
		RelayFixture relay = RelayFixture.ready();
		RouteTable older = new RouteTable(0, List.of(), Map.of(), RouteTable.Limits.defaults(), Optional.empty());
		assertThat(relay.handle(new RelayEvent.RouteTableUpdated(1, older))).isEmpty();
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	// The caller's order ran, and its answer was lost on the way. Sent again, the order
	// would be made twice; called "not run", the caller would send it again itself.
	@Test
	void lostAnswerOfARequestThatRunsOnceIsNeitherRepeatedNorCalledNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.fail(1, FailureCause.BROKEN);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.ANSWER_LOST);
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().retryAfter()).isEmpty();
	}

	@Test
	void requestThatWasNotSentGoesToAnotherUpstream() {
		RelayFixture relay = RelayFixture.ready();
		String first = sends(relay.sendRequest("r1", "order")).getFirst().upstream().id();
		List<RelayEffect.SendRequest> again = sends(relay.fail(1, FailureCause.NOT_CONNECTED));
		assertThat(again).hasSize(1);
		assertThat(again.getFirst().upstream().id()).isNotEqualTo(first);
	}

	// On call has only logs: each sending tells what it was chosen from, and on what
	// knowledge.
	@Test
	void sendingTellsItsCandidates() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect.WriteNotice> told = RelayFixture.ofType(relay.sendRequest("r1", "look"),
				RelayEffect.WriteNotice.class);
		assertThat(told).singleElement().extracting(RelayEffect.WriteNotice::notice).satisfies((notice) -> {
			assertThat(notice.code()).isEqualTo(NoticeCode.REQUEST_PLACED);
			assertThat(notice.fields()).filteredOn((field) -> field.name() == FieldName.CANDIDATES)
				.singleElement()
				.satisfies(
						(field) -> assertThat(field.value()).contains("s1 cost=", "s2 cost=", "s3 cost=", "age=none"));
		});
	}

	@Test
	void requestThatAnUpstreamDidNotRunGoesToAnotherWithinTheRoutesAttempts() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		assertThat(sends(relay.respond(1, RelayFixture.FULL))).hasSize(1);
		List<RelayEffect> effects = relay.respond(2, RelayFixture.FULL);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.NO_UPSTREAM);
	}

	@Test
	void idempotentRequestIsRepeatedAfterALostAnswer() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		assertThat(sends(relay.fail(1, FailureCause.BROKEN))).hasSize(1);
		List<RelayEffect> effects = relay.respond(2, RelayFixture.SIGNED);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendResponse.class)).hasSize(1);
	}

	@Test
	void unsignedSuccessIsNotPassedOn() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.respond(1, RelayFixture.UNSIGNED);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendResponse.class)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.ANSWER_LOST);
	}

	// A caller gave up, its request went out again with another number, and the first
	// attempt's answer arrives late. It meets nothing.
	@Test
	void answerOfAnEarlierAttemptMeetsNothing() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.fail(1, FailureCause.BROKEN);
		assertThat(relay.respond(1, RelayFixture.SIGNED)).isEmpty();
	}

	// An upstream crashed, and another one starts at its address while the list still has
	// the one before. Callers' requests that name that one are turned away at once, each
	// faster than any other answer. They go to other upstreams, although their route
	// allows
	// one only, and none follows them there.
	@Test
	void upstreamThatIsNoLongerAtItsAddressIsLeftAtOnce() {
		RelayFixture relay = RelayFixture.ready();
		String gone = sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))).getFirst()
			.upstream()
			.id();
		List<RelayEffect> again = relay.respond(1, RelayFixture.MISDIRECTED);
		assertThat(sends(again).getFirst().upstream().id()).isNotEqualTo(gone);
		for (int i = 0; i < 5; i++) {
			assertThat(sends(relay.sendRequest("r" + i, "draft")).getFirst().upstream().id()).isNotEqualTo(gone);
		}
	}

	@Test
	void requestThatNobodyIsThereForDoesNotCountAsSent() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		assertThat(sends(relay.respond(1, RelayFixture.MISDIRECTED))).hasSize(1);
		assertThat(sends(relay.respond(2, RelayFixture.MISDIRECTED))).hasSize(1);
		assertThat(refusal(relay.respond(3, RelayFixture.MISDIRECTED))).contains(Refusal.NO_UPSTREAM);
	}

	@Test
	void leavingUpstreamGetsNoNewWork() {
		RelayFixture relay = RelayFixture.ready();
		for (String id : List.of("s1", "s2")) {
			Upstream gone = RelayFixture.upstream(id, RelayFixture.SHOP);
			relay.handle(new RelayEvent.UpstreamUpdated(2, new Upstream(id, gone.service(), gone.host(), gone.port(),
					gone.zone(), gone.slots(), true, gone.startedAt())));
		}
		for (int i = 0; i < 10; i++) {
			assertThat(sends(relay.sendRequest("r" + i, "look")).getFirst().upstream().id()).isEqualTo("s3");
		}
	}

	// Another writer spoils the record of one upstream, over and over. It is told once,
	// the
	// upstream is given nothing more, and the others go on.
	@Test
	void unusableRecordIsToldOnceAndTheOthersHold() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> effects = new ArrayList<>();
		for (int i = 0; i < 1000; i++) {
			effects
				.addAll(relay.handle(new RelayEvent.UpstreamInvalid(relay.now(), "s1", UpstreamRecordError.ADDRESS)));
			effects.addAll(
					relay.handle(new RelayEvent.UpstreamInvalid(relay.now(), "junk", UpstreamRecordError.UNREADABLE)));
		}
		assertThat(notices(effects, NoticeCode.UPSTREAM_UNUSABLE)).hasSize(2);
		for (int i = 0; i < 10; i++) {
			assertThat(sends(relay.sendRequest("r" + i, "look")).getFirst().upstream().id()).isIn("s2", "s3");
		}
	}

	// One upstream starts again under its id after each crash. Counted by id, a request
	// that crashes it would be sent to it for ever.
	@Test
	void requestThatCrashedThreeLivesOfOneIdIsStopped() {
		RelayFixture relay = RelayFixture.ready();
		for (String other : List.of("s2", "s3")) {
			relay.handle(new RelayEvent.UpstreamRemoved(relay.now(), other));
		}
		for (int life = 1; life <= 3; life++) {
			relay.handle(new RelayEvent.UpstreamUpdated(relay.now(),
					RelayFixture.withStartTime("s1", RelayFixture.SHOP, life)));
			assertThat(sends(relay.sendRequest("r" + life, "look"))).hasSize(1);
			relay.fail(1, FailureCause.BROKEN);
		}
		relay.handle(
				new RelayEvent.UpstreamUpdated(relay.now(), RelayFixture.withStartTime("s1", RelayFixture.SHOP, 4)));
		assertThat(refusal(relay.sendRequest("r4", "look"))).contains(Refusal.BLAMED);
	}

	@Test
	void callerThatLeavesCancelsItsRequest() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.handle(new RelayEvent.CallerDisconnected(relay.now(), relay.exchange()));
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(relay.respond(1, RelayFixture.SIGNED)).isEmpty();
	}

	@Test
	void requestWithoutAnswerIsEndedWhenItIsDue() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.fireTimer(TimerKind.DEADLINE);
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(refusal(effects)).contains(Refusal.NO_ANSWER_IN_TIME);
	}

	// One request makes each upstream break off that runs it, and its caller sends it
	// again and again. After the third life of an upstream it is not sent any more, and
	// other requests go on.
	@Test
	void requestThatBreaksUpstreamsIsStoppedAndOthersAreNot() {
		RelayFixture relay = RelayFixture.ready();
		for (String upstream : List.of("e7", "e8", "e9")) {
			relay.readFromPeer(new LedgerEntry.UpstreamFailed("r0", "/draft/x".hashCode(), upstream));
		}
		assertThat(refusal(relay.sendRequest("r1", "draft"))).contains(Refusal.BLAMED);
		assertThat(sends(relay.sendRequest("r2", "look"))).hasSize(1);
	}

	// While the log was down a relay told the others what it had given a program, and
	// died. Whoever holds a copy writes it once the log is back; without that the loss of
	// all relays afterwards would let a looping program spend it again.
	@Test
	void entryOfARelayThatDiedIsWrittenByTheOthers() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog();
		LedgerEntry turn = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(turn);
		relay.advance(9_000);
		assertThat(RelayFixture.written(relay.readFromLog())).isEmpty();
		relay.advance(1_000);
		relay.readFromLog();
		for (int i = 0; i < 8; i++) {
			relay.advance(500);
			relay.readFromLog();
		}
		assertThat(RelayFixture.written(relay.all)).containsExactly(turn);
	}

	@Test
	void entryThatTheLogShowsIsNotWrittenAgain() {
		RelayFixture relay = RelayFixture.ready();
		LedgerEntry turn = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(turn);
		relay.readFromLog(turn);
		for (int i = 0; i < 12; i++) {
			relay.advance(500);
			relay.readFromLog();
		}
		assertThat(RelayFixture.written(relay.all)).isEmpty();
	}

	@Test
	void turnBeyondTheBudgetIsRefused() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromPeer(new LedgerEntry.Settled("t0", "p", 950, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))))
			.contains(Refusal.BUDGET_SPENT);
	}

	@Test
	void turnFarFromTheEndOfTheBudgetIsSentAtOnce() {
		RelayFixture relay = RelayFixture.ready();
		assertThat(sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).hasSize(1);
	}

	// Two sub-agents begin at two relays in the same millisecond, and the budget holds
	// one
	// of them. The log's order decides which; what is told over the links does not.
	@Test
	void turnNearTheEndOfTheBudgetWaitsForItsPlaceInTheLog() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> asked = relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		assertThat(sends(asked)).isEmpty();
		LedgerEntry own = RelayFixture.written(asked).getFirst();
		LedgerEntry other = new LedgerEntry.Reserved("t2", "p", 100, "", List.of(), true);
		assertThat(relay.readFromPeer(other)).isEmpty();
		assertThat(sends(relay.readFromLog(own, other))).hasSize(1);
	}

	@Test
	void laterOfTwoContendingTurnsIsRefusedAndCounted() {
		RelayFixture relay = RelayFixture.ready();
		LedgerEntry own = RelayFixture.written(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null)))
			.getFirst();
		LedgerEntry other = new LedgerEntry.Reserved("t2", "p", 100, "", List.of(), true);
		List<RelayEffect> effects = relay.readFromLog(other, own);
		assertThat(refusal(effects)).contains(Refusal.BUDGET_SPENT);
		assertThat(RelayFixture.settled(effects).tokens()).isZero();
	}

	// All relays are lost, and the log was written to until then: no outage came before,
	// so
	// nothing was given that it does not have. Kept back all the same, half of the budget
	// would be missing to programs that need it.
	@Test
	void relayThatStartsBehindARecentLogSoonMissesNothing() {
		RelayFixture relay = RelayFixture.afterRestart();
		relay.handle(
				new RelayEvent.CaughtUp(relay.now(), 7, Duration.ofMillis(30), Optional.of(Duration.ofMillis(2900))));
		relay.readFromLog(new LedgerEntry.Settled("t0", "p", 310, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.advance(2001);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// All relays are lost in an outage. The log is read when it is back, and its newest
	// entry is older than a loss alone can make it.
	@Test
	void relayThatStartsBehindAnOldLogKeepsHalfOfABudgetBack() {
		RelayFixture relay = RelayFixture.afterRestart();
		relay
			.handle(new RelayEvent.CaughtUp(relay.now(), 7, Duration.ofMillis(30), Optional.of(Duration.ofSeconds(3))));
		relay.readFromLog(new LedgerEntry.Settled("t0", "p", 310, Optional.empty()));
		relay.advance(30_000);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.advance(31_000);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// The log falls silent, and the other relays too. Whoever waits for either is refused
	// as not run, and what was held back for the turn is given back.
	@Test
	void contendingTurnIsRefusedAsNotRunIfLogAndRelaysAreSilent() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> asked = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(asked)).isEmpty();
		assertThat(RelayFixture.ofType(asked, RelayEffect.RequestReservation.class)).hasSize(1);
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).isEmpty();
		List<RelayEffect> effects = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(effects)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(effects).tokens()).isZero();
	}

	// Two of the three relays that keep a program have just started, and say at once that
	// they may miss turns. The log decides, and has its whole time for it: the reminder
	// that
	// was meant for the keepers comes first.
	@Test
	void logHasItsTimeThoughKeepersWereUnsureBefore() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		List<RelayEffect> asked = relay.sendTurn("t1", "draft", RelayFixture.turn("p", 300, 100, null));
		assertThat(RelayFixture.ofType(asked, RelayEffect.RequestReservation.class)).singleElement()
			.satisfies((ask) -> assertThat(ask.peers()).containsExactlyInAnyOrder("a", "b", "c"));
		relay.handle(new RelayEvent.UsageUnavailable(relay.now(), "a", "t1"));
		List<RelayEffect> contends = relay.handle(new RelayEvent.UsageUnavailable(relay.now(), "b", "t1"));
		assertThat(relay.fireTimer(TimerKind.BUDGET_DECISION)).isEmpty();
		assertThat(sends(relay.readFromLog(RelayFixture.written(contends).getFirst()))).hasSize(1);
	}

	@Test
	void twoKeepersOfThreeDecide() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 300, 100, null));
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 300, 0, true, 3))))
			.isEmpty();
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 300, 0, true, 3))))
			.isEmpty();
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "c", "t1", 100, 0, true, 3))))
			.hasSize(1);
		relay.sendTurn("t2", "draft", RelayFixture.turn("p", 300, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t2", 400, 0, true, 3));
		assertThat(refusal(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t2", 100, 0, true, 3))))
			.contains(Refusal.BUDGET_SPENT);
	}

	// The store has fallen silent, which nobody knows yet. Keepers say that the log has
	// not
	// shown half of the budget, so the log is asked first: given on their word alone, it
	// would be given once more after the loss of all relays.
	@Test
	void logIsAskedOnceItHasNotShownHalfOfTheBudget() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "own"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 400, 301, true, 3));
		List<RelayEffect> told = relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t1", 400, 250, true, 3));
		assertThat(sends(told)).isEmpty();
		assertThat(sends(relay.readFromLog(RelayFixture.written(told).getFirst()))).hasSize(1);
	}

	// The store turns this relay away. Of a turn near the end of its budget the other
	// relays are asked at once, also of the one that waits already. Without a majority of
	// them it is refused soon, so that its caller has time for another relay. Turns far
	// from the end go on.
	@Test
	void relayWithoutTheLogAsksTheOthersAtOnce() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> lost = relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		assertThat(RelayFixture.ofType(lost, RelayEffect.RequestReservation.class)).hasSize(1);
		List<RelayEffect> asked = relay.sendTurn("t2", "draft", RelayFixture.turn("q", 100, 100, null));
		assertThat(RelayFixture.ofType(asked, RelayEffect.RequestReservation.class)).hasSize(1);
		assertThat(sends(asked)).isEmpty();
		List<RelayEffect> due = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(due)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(due).tokens()).isZero();
		assertThat(sends(relay.sendTurn("t3", "draft", RelayFixture.turn("r", 1000, 100, null)))).hasSize(1);
	}

	@Test
	void turnRunsWithoutTheLogIfAMajorityKnowsOfLessThanHalfOfTheBudget() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 400, 100, null));
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 200, 0, false, 4))))
			.isEmpty();
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 100, 0, false, 4))))
			.isEmpty();
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t1", 100, 0, false, 4))))
			.hasSize(1);
		assertThat(relay.handle(new RelayEvent.UsageReceived(relay.now(), "c", "t1", 100, 0, false, 4))).isEmpty();
	}

	// What is given without the log is in no log if all relays are lost. The second half
	// of the budget is left for that case.
	@Test
	void turnInTheSecondHalfOfTheBudgetWaitsForTheLog() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 400, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 100, 0, false, 4));
		List<RelayEffect> told = relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t1", 300, 0, false, 4));
		assertThat(refusal(told)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(told).tokens()).isZero();
	}

	// The store turns this relay away and serves another, which asks the log in its
	// place.
	@Test
	void relayThatReachesTheLogDecidesForOneThatDoesNot() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> told = relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 100, 0, true, 2));
		assertThat(told).containsExactly(new RelayEffect.RequestLogReservation("a", "t1", "p", 100, 100));
		assertThat(sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t1", 100, 0, false, 2))))
			.isEmpty();
		List<RelayEffect> placed = relay.handle(new RelayEvent.LogDecisionReceived(relay.now(), "t1", true));
		assertThat(sends(placed)).hasSize(1);
		assertThat(notices(placed, NoticeCode.TURN_DECIDED).getFirst().fields())
			.contains(new NoticeField(FieldName.REASON, "PLACE"), new NoticeField(FieldName.VERDICT, "HELD"));
	}

	// Another relay told two turns and has not brought them to the log in time. On call
	// sees
	// how many this relay writes for it, and nothing while the log shows all.
	@Test
	void entriesThatAreWrittenForAnotherRelayAreTold() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog();
		LedgerEntry first = new LedgerEntry.Reserved("t1", "p", 100, "", List.of(), false);
		LedgerEntry second = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(first, second);
		assertThat(notices(relay.readFromLog(), NoticeCode.ENTRIES_ADOPTED)).isEmpty();
		List<RelayEffect> adopted = readForFourSeconds(relay);
		assertThat(RelayFixture.written(adopted)).containsExactly(first, second);
		assertThat(notices(adopted, NoticeCode.ENTRIES_ADOPTED))
			.containsExactly(NoticeCode.ENTRIES_ADOPTED.with(FieldName.COUNT, 2));
		assertThat(notices(relay.readFromLog(), NoticeCode.ENTRIES_ADOPTED)).isEmpty();
	}

	// The log is late, and three relays have written the end of one turn. Each relay that
	// reads it counts two copies; what only links told and the log shows once is none.
	@Test
	void copiesInTheLogAreMeasured() {
		RelayFixture relay = RelayFixture.ready();
		LedgerEntry turn = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(turn);
		assertThat(copies(relay.readFromPeer(turn))).isEmpty();
		assertThat(copies(relay.readFromLog(turn))).isEmpty();
		assertThat(copies(relay.readFromPeer(turn))).isEmpty();
		assertThat(copies(relay.readFromLog(turn, turn)))
			.containsExactly(new Measurement.LogCopies(Measurement.LogCopies.Kind.SETTLED, 2));
		assertThat(copies(relay.readFromLog())).isEmpty();
	}

	private static List<Measurement> copies(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.RecordMeasurement.class)
			.stream()
			.map(RelayEffect.RecordMeasurement::measurement)
			.filter(Measurement.LogCopies.class::isInstance)
			.toList();
	}

	private static List<RelayEffect> readForFourSeconds(RelayFixture relay) {
		List<RelayEffect> effects = new ArrayList<>();
		for (int second = 0; second < 4; second++) {
			relay.advance(1000);
			effects.addAll(relay.readFromLog());
		}
		return effects;
	}

	private static List<Notice> notices(List<RelayEffect> effects, NoticeCode code) {
		return RelayFixture.ofType(effects, RelayEffect.WriteNotice.class)
			.stream()
			.map(RelayEffect.WriteNotice::notice)
			.filter((notice) -> notice.code() == code)
			.toList();
	}

	// Each call of the log is priced, so one relay is asked for a place; the next one
	// only
	// if it does not answer in time.
	@Test
	void oneRelayAfterTheOtherIsAskedForAPlace() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", "t1", 100, 0, true, 2));
		assertThat(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", "t1", 100, 0, true, 2))).isEmpty();
		assertThat(relay.fireTimer(TimerKind.BUDGET_DECISION))
			.contains(new RelayEffect.RequestLogReservation("b", "t1", "p", 100, 100));
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).contains(Refusal.LOG_LOST);
	}

	@Test
	void placeInTheLogIsGotForAnotherRelay() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromPeer(new LedgerEntry.Reserved("t1", "p", 100, "", List.of(), false));
		List<RelayEffect> asked = relay
			.handle(new RelayEvent.ReservationRequested(relay.now(), "peer", "t1", "p", 100, 100, true));
		List<RelayEffect> read = relay.readFromLog(RelayFixture.written(asked).toArray(new LedgerEntry[0]));
		assertThat(RelayFixture.ofType(read, RelayEffect.SendLogDecision.class))
			.containsExactly(new RelayEffect.SendLogDecision("peer", "t1", true));
	}

	@Test
	void questionIsAnsweredWithAllThatIsTakenAndWhatTheLogHasNotShown() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		LedgerEntry settled = new LedgerEntry.Settled("t0", "p", 30, Optional.empty());
		LedgerEntry reserved = new LedgerEntry.Reserved("t1", "p", 100, "", List.of(), false);
		relay.readFromPeer(settled);
		relay.readFromPeer(reserved);
		assertThat(relay.handle(new RelayEvent.ReservationRequested(relay.now(), "peer", "t1", "p", 100, 400, false)))
			.containsExactly(
					new RelayEffect.SendUsage("peer", "t1", 130, 130, false, List.of(settled, reserved), List.of()));
	}

	@Test
	void relayThatMayMissTurnsAnswersNoQuestion() {
		RelayFixture woken = RelayFixture.ready();
		woken.handle(new RelayEvent.ProcessResumed(woken.now(), Duration.ofSeconds(4)));
		assertThat(woken.handle(new RelayEvent.ReservationRequested(woken.now(), "peer", "t1", "p", 100, 400, false)))
			.containsExactly(new RelayEffect.SendUsageUnavailable("peer", "t1"));
		RelayFixture lost = RelayFixture.readyAfterRestart();
		assertThat(lost.handle(new RelayEvent.ReservationRequested(lost.now(), "peer", "t1", "p", 100, 400, false)))
			.containsExactly(new RelayEffect.SendUsageUnavailable("peer", "t1"));
	}

	// All relays were lost, perhaps in an outage in which a program was given half of its
	// budget. It is given the other half and the one turn by which a budget may be
	// passed,
	// until a majority has told this relay what it knows.
	@Test
	void relayThatMayMissTurnsKeepsBackHalfOfABudget() {
		RelayFixture relay = RelayFixture.readyAfterRestart();
		relay.readFromLog(new LedgerEntry.Settled("t0", "p", 310, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.handle(new RelayEvent.SyncCompleted(relay.now(), "a", 2));
		relay.handle(new RelayEvent.SyncCompleted(relay.now(), "b", 2));
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// A relay is frozen for seconds, and a looping program spends its budget elsewhere. A
	// turn that came during the freeze is read first when the relay wakes: decided on
	// what it believed before, it would pass the budget. It waits for the log instead.
	@Test
	void wokenRelayDecidesOnTurnsWhenItHasReadTheLog() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> woken = relay.handle(new RelayEvent.ProcessResumed(relay.now(), Duration.ofSeconds(4)));
		assertThat(RelayFixture.ofType(woken, RelayEffect.CatchUp.class)).hasSize(1);
		assertThat(sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).isEmpty();
		relay.readFromLog(new LedgerEntry.Settled("t0", "p", 1000, Optional.empty()));
		List<RelayEffect> caughtUp = relay.handle(RelayFixture.caughtUp(relay.now()));
		assertThat(refusal(caughtUp)).contains(Refusal.BUDGET_SPENT);
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("q", 1000, 100, null)))).hasSize(1);
	}

	@Test
	void wokenRelayThatCannotReadTheLogRefusesTurnsAsNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ProcessResumed(relay.now(), Duration.ofSeconds(4)));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.NOT_READY);
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	// A relay that is cut off from the log and from all relays can't see what a program
	// spends elsewhere, so it runs no turns; requests without a budget go on.
	@Test
	void isolatedRelayRunsNoTurns() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.NOTHING));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))))
			.contains(Refusal.ISOLATED);
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	@Test
	void tokensThatACallerWasGivenCountWhenItsStreamBreaks() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.event(1, 1);
		relay.event(1, 2);
		List<RelayEffect> effects = relay.fail(1, FailureCause.BROKEN);
		assertThat(RelayFixture.settled(effects).tokens()).isEqualTo(2 * RelayFixture.TOKENS_PER_EVENT);
		assertThat(RelayFixture.settled(effects).textLocation()).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
	}

	// An upstream dies in the middle of a stream that may be resumed. The caller sees one
	// stream: the next upstream goes on after the last whole event.
	@Test
	void resumableStreamGoesOnElsewhereAfterItsLastEvent() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "draft");
		relay.open(1);
		relay.event(1, 1);
		relay.event(1, 2);
		RelayEffect.SendRequest again = sends(relay.fail(1, FailureCause.BROKEN)).getFirst();
		assertThat(again.lastEvent()).hasValue(2);
		assertThat(RelayFixture.ofType(relay.open(2), RelayEffect.OpenStream.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.event(2, 2), RelayEffect.ForwardStreamEvent.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.event(2, 3), RelayEffect.ForwardStreamEvent.class)).hasSize(1);
		assertThat(ends(relay.end(2))).hasSize(1);
	}

	// A connection has gone dead without a word. A lookup goes to another upstream when
	// its target is over; the first attempt is given up, and its answer meets nothing.
	@Test
	void idempotentRequestLeavesASilentUpstream() {
		RelayFixture relay = RelayFixture.ready();
		String first = sends(relay.sendRequest("r1", "look")).getFirst().upstream().id();
		relay.advance(200);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(sends(effects)).singleElement()
			.satisfies((send) -> assertThat(send.upstream().id()).isNotEqualTo(first));
		assertThat(relay.respond(1, RelayFixture.SIGNED)).isEmpty();
		assertThat(RelayFixture.ofType(relay.respond(2, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
			.hasSize(1);
	}

	@Test
	void requestThatRunsOnceStaysWithASilentUpstream() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> asked = relay.sendRequest("r1", "order");
		assertThat(RelayFixture.ofType(asked, RelayEffect.StartTimer.class)).extracting(RelayEffect.StartTimer::timer)
			.containsExactly(TimerKind.DEADLINE);
	}

	// All upstreams are full, so the silence is a queue. At the end of another queue the
	// request would wait longer, and the others behind it too.
	@Test
	void requestStaysWhereItWaitsIfAllUpstreamsAreFull() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 3 * 6; i++) {
			relay.sendRequest("r" + i, "look");
		}
		relay.advance(200);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(sends(effects)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.StartTimer.class)).hasSize(1);
	}

	// A stream that may be resumed falls silent after its second event: it goes on at
	// another upstream from there, and its caller sees a pause of a second.
	@Test
	void resumableStreamLeavesASilentUpstreamAfterItsLastEvent() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "draft");
		relay.open(1);
		relay.advance(700);
		relay.event(1, 1);
		relay.event(1, 2);
		relay.advance(300);
		assertThat(sends(relay.fireTimer(TimerKind.UPSTREAM_IDLE))).isEmpty();
		relay.advance(700);
		RelayEffect.SendRequest again = sends(relay.fireTimer(TimerKind.UPSTREAM_IDLE)).getFirst();
		assertThat(again.lastEvent()).hasValue(2);
	}

	@Test
	void streamWithAMissingEventIsNotPassedOnAsIfWhole() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.event(1, 1);
		List<RelayEffect> effects = relay.event(1, 3);
		assertThat(RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

	private static List<RelayEffect.EndStream> ends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.EndStream.class);
	}

	private static RelayEffect.Refuse refuse(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst();
	}

	private static Optional<Refusal> refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class)
			.stream()
			.map(RelayEffect.Refuse::refusal)
			.findFirst();
	}

}
