package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.notice.NoticeField;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelayTests {

	@Test
	void requestBeforeStateIsLoadedIsRefusedAsNotRun() {
		RelayFixture relay = RelayFixture.unconfigured();
		List<RelayEffect> effects = relay.sendRequest("r1", "look");
		assertThat(refusal(effects)).contains(Refusal.NOT_READY);
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().retryAfter()).isPresent();
	}

	@Test
	void readinessFollowsRouteTableUpstreamsLogAndTextOffset() {
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

	// Guards against a relay that decides alone before it knows the other replicas.
	@Test
	void turnIsRefusedUntilMembershipIsKnown() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		RelayEffect.Refuse refused = refuse(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)));
		assertThat(refused.refusal()).isEqualTo(Refusal.NOT_READY);
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("self"))));
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 1000, 100, null)))).hasSize(1);
		assertThat(RelayFixture.ofType(relay.all, RelayEffect.ReportReadiness.class))
			.containsExactly(new RelayEffect.ReportReadiness(false), new RelayEffect.ReportReadiness(true));
	}

	// Guards against callers using up their retries while the log is being read.
	@Test
	void retryAfterOfATurnCoversTheReadOfTheLog() {
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
	void olderRouteTableIsIgnored() {
		RelayFixture relay = RelayFixture.ready();
		RouteTable older = new RouteTable(0, List.of(), Map.of(), RouteTable.Limits.defaults(), Optional.empty());
		assertThat(relay.handle(new RelayEvent.RouteTableUpdated(1, older))).isEmpty();
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	// Guards against running a request twice, by a retry of the relay or of its caller.
	@Test
	void lostResponseOfAnAtMostOnceRequestIsNeitherRetriedNorReportedAsNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.fail(1, FailureCause.BROKEN);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.ANSWER_LOST);
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().retryAfter()).isEmpty();
	}

	@Test
	void unsentRequestIsRetriedAtAnotherUpstream() {
		RelayFixture relay = RelayFixture.ready();
		String first = sends(relay.sendRequest("r1", "order")).getFirst().upstream().id();
		List<RelayEffect.SendRequest> retried = sends(relay.fail(1, FailureCause.NOT_CONNECTED));
		assertThat(retried).hasSize(1);
		assertThat(retried.getFirst().upstream().id()).isNotEqualTo(first);
	}

	// Guards against counting a caller's timeout from the end of a slow upload.
	@Test
	void timeoutOfTheCallerCountsFromTheHeadOfItsRequest() {
		RelayFixture relay = RelayFixture.ready();
		long headReadAt = relay.now();
		relay.advance(400);
		List<RelayEffect> effects = relay.sendRequest(RelayFixture.head("r1", "look", Optional.empty()), "body",
				headReadAt);
		assertThat(sends(effects).getFirst().deadline()).isEqualTo(headReadAt + 3_000);
	}

	// Guards against reporting a request that was never sent as possibly run.
	@Test
	void requestThatExpiresBeforeItIsSentIsRefusedAsNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		relay.advance(3_000);
		List<RelayEffect> effects = relay.fail(1, FailureCause.EXPIRED);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.EXPIRED);
		assertThat(Refusal.EXPIRED.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// Operators see the candidates of each selection in the log.
	@Test
	void sendIsLoggedWithItsCandidates() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect.WriteNotice> notices = RelayFixture.ofType(relay.sendRequest("r1", "look"),
				RelayEffect.WriteNotice.class);
		assertThat(notices).singleElement().extracting(RelayEffect.WriteNotice::notice).satisfies((notice) -> {
			assertThat(notice.code()).isEqualTo(NoticeCode.REQUEST_PLACED);
			assertThat(notice.fields()).filteredOn((field) -> field.name() == FieldName.CANDIDATES)
				.singleElement()
				.satisfies(
						(field) -> assertThat(field.value()).contains("s1 cost=", "s2 cost=", "s3 cost=", "age=none"));
		});
	}

	@Test
	void rejectedRequestIsRetriedUpToTheMaximumAttempts() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		assertThat(sends(relay.respond(1, RelayFixture.FULL))).hasSize(1);
		List<RelayEffect> effects = relay.respond(2, RelayFixture.FULL);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.NO_UPSTREAM);
	}

	@Test
	void idempotentRequestIsRetriedAfterALostResponse() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		assertThat(sends(relay.fail(1, FailureCause.BROKEN))).hasSize(1);
		List<RelayEffect> effects = relay.respond(2, RelayFixture.SIGNED);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendResponse.class)).hasSize(1);
	}

	@Test
	void unsignedSuccessIsNotForwarded() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.respond(1, RelayFixture.UNSIGNED);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendResponse.class)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.ANSWER_LOST);
	}

	// Guards against a late response of an attempt that was superseded.
	@Test
	void responseOfASupersededAttemptIsIgnored() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.fail(1, FailureCause.BROKEN);
		assertThat(relay.respond(1, RelayFixture.SIGNED)).isEmpty();
	}

	// Guards against selecting an upstream that no longer exists: its address rejects
	// requests faster than others respond.
	@Test
	void upstreamWhoseAddressWasReusedIsEjected() {
		RelayFixture relay = RelayFixture.ready();
		String ejected = sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))).getFirst()
			.upstream()
			.id();
		List<RelayEffect> retried = relay.respond(1, RelayFixture.MISDIRECTED);
		assertThat(sends(retried).getFirst().upstream().id()).isNotEqualTo(ejected);
		for (int i = 0; i < 5; i++) {
			assertThat(sends(relay.sendRequest("r" + i, "draft")).getFirst().upstream().id()).isNotEqualTo(ejected);
		}
	}

	@Test
	void misdirectedRequestDoesNotCountAsAttempt() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		assertThat(sends(relay.respond(1, RelayFixture.MISDIRECTED))).hasSize(1);
		assertThat(sends(relay.respond(2, RelayFixture.MISDIRECTED))).hasSize(1);
		assertThat(refusal(relay.respond(3, RelayFixture.MISDIRECTED))).contains(Refusal.NO_UPSTREAM);
	}

	@Test
	void drainingUpstreamReceivesNoNewRequests() {
		RelayFixture relay = RelayFixture.ready();
		for (String id : List.of("s1", "s2")) {
			Upstream listed = RelayFixture.upstream(id, RelayFixture.SHOP);
			relay.handle(new RelayEvent.UpstreamUpdated(2, new Upstream(id, listed.service(), listed.host(),
					listed.port(), listed.zone(), listed.slots(), true, listed.startedAt(), "v1")));
		}
		for (int i = 0; i < 10; i++) {
			assertThat(sends(relay.sendRequest("r" + i, "look")).getFirst().upstream().id()).isEqualTo("s3");
		}
	}

	// Guards against flooding the log, or dropping other upstreams, for one invalid
	// record.
	@Test
	void invalidRecordIsReportedOnceAndOtherUpstreamsStayInUse() {
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

	// Guards against counting failures by upstream id: a poison request would be sent
	// to each new incarnation.
	@Test
	void requestThatFailedThreeIncarnationsOfOneIdIsRefused() {
		RelayFixture relay = RelayFixture.ready();
		for (String other : List.of("s2", "s3")) {
			relay.handle(new RelayEvent.UpstreamRemoved(relay.now(), other));
		}
		for (int incarnation = 1; incarnation <= 3; incarnation++) {
			relay.handle(new RelayEvent.UpstreamUpdated(relay.now(),
					RelayFixture.withStartTime("s1", RelayFixture.SHOP, incarnation)));
			assertThat(sends(relay.sendRequest("r" + incarnation, "look"))).hasSize(1);
			relay.fail(1, FailureCause.BROKEN);
		}
		relay.handle(
				new RelayEvent.UpstreamUpdated(relay.now(), RelayFixture.withStartTime("s1", RelayFixture.SHOP, 4)));
		assertThat(refusal(relay.sendRequest("r4", "look"))).contains(Refusal.BLAMED);
	}

	@Test
	void disconnectOfTheCallerCancelsItsRequest() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		List<RelayEffect> effects = relay.handle(new RelayEvent.CallerDisconnected(relay.now(), relay.exchange()));
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(relay.respond(1, RelayFixture.SIGNED)).isEmpty();
	}

	@Test
	void requestWithoutResponseEndsAtItsDeadline() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		relay.written(1);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.DEADLINE);
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(refusal(effects)).contains(Refusal.NO_ANSWER_IN_TIME);
	}

	// Guards against running a request that makes every upstream fail.
	@Test
	void poisonRequestIsRefusedAndOthersAreNot() {
		RelayFixture relay = RelayFixture.ready();
		for (String upstream : List.of("e7", "e8", "e9")) {
			relay.readFromPeer(new LedgerEntry.UpstreamFailed("r0", RelayFixture.digest("/draft/x"), upstream));
		}
		assertThat(refusal(relay.sendRequest("r1", "draft"))).contains(Refusal.BLAMED);
		assertThat(sends(relay.sendRequest("r2", "look"))).hasSize(1);
	}

	// Guards against sending on a request under which upstreams disappear without closing
	// their connections.
	@Test
	void upstreamThatDisappearsUnderARequestCountsAsFailed() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 1; i <= 3; i++) {
			Upstream upstream = sends(relay.sendRequest("r" + i, "order")).getFirst().upstream();
			relay.written(1);
			relay.advance(100);
			relay.handle(new RelayEvent.CallerDisconnected(relay.now(), relay.exchange()));
			relay.advance(2_000);
			List<RelayEffect> removed = relay.handle(new RelayEvent.UpstreamRemoved(relay.now(), upstream.id()));
			assertThat(RelayFixture.writtenWithoutRuns(removed))
				.containsExactlyElementsOf(RelayFixture.failures("r" + i, "order", upstream.incarnationId()));
		}
		relay.handle(new RelayEvent.UpstreamUpdated(relay.now(), RelayFixture.upstream("s4", RelayFixture.SHOP)));
		assertThat(refusal(relay.sendRequest("r4", "order"))).contains(Refusal.BLAMED);
	}

	// Guards against sending on a request whose callers wait longer than its upstreams
	// are listed.
	@Test
	void upstreamThatIsRemovedWhileARequestRunsCountsAsFailedOnceItIsAbandoned() {
		RelayFixture relay = RelayFixture.ready();
		Upstream upstream = sends(relay.sendRequest("r1", "order")).getFirst().upstream();
		relay.written(1);
		assertThat(RelayFixture.written(relay.handle(new RelayEvent.UpstreamRemoved(relay.now(), upstream.id()))))
			.isEmpty();
		relay.advance(3_000);
		assertThat(RelayFixture.writtenWithoutRuns(relay.fireTimer(TimerKind.DEADLINE)))
			.containsExactlyElementsOf(RelayFixture.failures("r1", "order", upstream.incarnationId()));
	}

	// Guards against blaming a request for an upstream that ended later or as planned, or
	// that never received it.
	@Test
	void upstreamThatDisappearsForAnotherReasonDoesNotCountAsFailed() {
		RelayFixture relay = RelayFixture.ready();
		Upstream unwritten = sends(relay.sendRequest("r1", "order")).getFirst().upstream();
		relay.handle(new RelayEvent.CallerDisconnected(relay.now(), relay.exchange()));
		assertThat(RelayFixture.written(remove(relay, unwritten))).isEmpty();
		Upstream drained = abandon(relay, "r2");
		relay.handle(new RelayEvent.UpstreamUpdated(relay.now(), new Upstream(drained.id(), drained.service(),
				"10.0.0.1", 80, "zone-a", 6, true, OptionalLong.empty(), "v1")));
		assertThat(RelayFixture.written(remove(relay, drained))).isEmpty();
		Upstream last = abandon(relay, "r3");
		assertThat(sends(relay.sendRequest("r4", "look")).getFirst().upstream()).isEqualTo(last);
		relay.written(1);
		relay.respond(1, RelayFixture.SIGNED);
		assertThat(RelayFixture.written(remove(relay, last))).isEmpty();
	}

	private static Upstream abandon(RelayFixture relay, String request) {
		Upstream upstream = sends(relay.sendRequest(request, "order")).getFirst().upstream();
		relay.written(1);
		relay.handle(new RelayEvent.CallerDisconnected(relay.now(), relay.exchange()));
		return upstream;
	}

	private static List<RelayEffect> remove(RelayFixture relay, Upstream upstream) {
		return relay.handle(new RelayEvent.UpstreamRemoved(relay.now(), upstream.id()));
	}

	// Guards against sending a request that became poison while it waited.
	@Test
	void waitingRequestIsRefusedOnceItIsPoison() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ProcessResumed(relay.now(), Duration.ofSeconds(4)));
		assertThat(sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).isEmpty();
		for (String upstream : List.of("e7", "e8", "e9")) {
			relay.readFromPeer(new LedgerEntry.UpstreamFailed("r0", RelayFixture.digest("/draft/x"), upstream));
		}
		List<RelayEffect> effects = relay.handle(RelayFixture.caughtUp(relay.now()));
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).contains(Refusal.BLAMED);
	}

	// Guards against refusing a frequent harmless request after a few broken connections.
	@Test
	void requestThatSucceedsAfterEachFailureIsNotPoison() {
		RelayFixture relay = RelayFixture.ready();
		for (int incarnation = 1; incarnation <= 4; incarnation++) {
			for (String id : List.of("s1", "s2", "s3")) {
				relay.handle(new RelayEvent.UpstreamUpdated(relay.now(),
						RelayFixture.withStartTime(id, RelayFixture.SHOP, incarnation)));
			}
			assertThat(sends(relay.sendRequest("r" + incarnation, "look"))).hasSize(1);
			relay.fail(1, FailureCause.BROKEN);
			assertThat(RelayFixture.ofType(relay.respond(2, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
				.hasSize(1);
		}
	}

	// Guards against sending a request to further upstreams through relays that don't
	// know its failures yet.
	@Test
	void secondFailureOfARequestIsSentToAllRelays() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(),
				List.of(Member.of("self"), Member.of("a"), Member.of("b"))));
		relay.handle(new RelayEvent.PeerConnected(relay.now(), "a"));
		relay.sendRequest("r1", "look");
		assertThat(replicas(relay.crash(1))).containsExactly("a");
		assertThat(replicas(relay.crash(2))).containsExactlyInAnyOrder("a", "b");
	}

	// Guards against a failure that was recorded during an outage of the log being
	// unknown to a relay that connects later.
	@Test
	void failuresAreSentToARelayThatConnects() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(new RelayEvent.MembershipUpdated(relay.now(),
				List.of(Member.of("self"), Member.of("a"), Member.of("b"))));
		LedgerEntry failed = new LedgerEntry.UpstreamFailed("r0", 3, "u");
		relay.readFromPeer(failed);
		List<RelayEffect> connected = relay.handle(new RelayEvent.PeerConnected(relay.now(), "b"));
		assertThat(RelayFixture.ofType(connected, RelayEffect.SendSync.class).getFirst().entries())
			.containsExactly(failed);
	}

	// Guards against asking the caller of a poison request to send it again.
	@Test
	void rejectedRequestThatBecamePoisonIsRefusedWithoutRetryAfter() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "order");
		for (String upstream : List.of("s7", "s8", "s9")) {
			relay.readFromPeer(new LedgerEntry.UpstreamFailed("r0", RelayFixture.digest("/order/x"), upstream));
		}
		List<RelayEffect> effects = relay.respond(1, RelayFixture.FULL);
		assertThat(sends(effects)).isEmpty();
		assertThat(refuse(effects).refusal()).isEqualTo(Refusal.BLAMED);
		assertThat(refuse(effects).retryAfter()).isEmpty();
	}

	// Guards against losing an uncommitted entry with its relay: the budget could be
	// used a second time.
	@Test
	void uncommittedEntryOfALostRelayIsAppendedByOthers() {
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
	void committedEntryIsNotAppendedAgain() {
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
		relay.readFromPeer(new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 950, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))))
			.contains(Refusal.BUDGET_SPENT);
	}

	@Test
	void turnFarBelowTheBudgetIsSentImmediately() {
		RelayFixture relay = RelayFixture.ready();
		assertThat(sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).hasSize(1);
	}

	// Guards against two relays using the rest of a budget at once: the order of the
	// log decides.
	@Test
	void turnNearTheBudgetWaitsForTheOrderOfTheLog() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> requested = relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		assertThat(sends(requested)).isEmpty();
		LedgerEntry own = RelayFixture.written(requested).getFirst();
		LedgerEntry other = new LedgerEntry.Reserved(RunId.unnumbered("t2"), "p", 100, "", List.of(), true);
		assertThat(relay.readFromPeer(other)).isEmpty();
		assertThat(sends(relay.readFromLog(own, other))).hasSize(1);
	}

	@Test
	void laterOfTwoConcurrentTurnsIsRefusedAndSettled() {
		RelayFixture relay = RelayFixture.ready();
		LedgerEntry own = RelayFixture.written(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null)))
			.getFirst();
		LedgerEntry other = new LedgerEntry.Reserved(RunId.unnumbered("t2"), "p", 100, "", List.of(), true);
		List<RelayEffect> effects = relay.readFromLog(other, own);
		assertThat(refusal(effects)).contains(Refusal.BUDGET_SPENT);
		assertThat(RelayFixture.settled(effects).tokens()).isZero();
	}

	// Guards against withholding half of a budget after a restart without an outage of
	// the log.
	@Test
	void relayThatRestartsWithARecentLogSoonAdmitsTheWholeBudget() {
		RelayFixture relay = RelayFixture.afterRestart();
		relay.handle(
				new RelayEvent.CaughtUp(relay.now(), 7, Duration.ofMillis(30), Optional.of(Duration.ofMillis(2900))));
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 310, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.advance(2001);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// Guards against using a budget twice: if the newest entry of the log is old, turns
	// may have been admitted during an outage of the log.
	@Test
	void relayThatRestartsWithAnOldLogWithholdsHalfOfABudget() {
		RelayFixture relay = RelayFixture.afterRestart();
		relay
			.handle(new RelayEvent.CaughtUp(relay.now(), 7, Duration.ofMillis(30), Optional.of(Duration.ofSeconds(3))));
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 310, Optional.empty()));
		relay.advance(30_000);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.advance(31_000);
		relay.readFromLog();
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// Guards against a turn that waits for ever, or keeps its reservation, when neither
	// the log nor a relay responds.
	@Test
	void undecidedTurnIsRefusedAsNotRunIfLogAndRelaysDoNotRespond() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> requested = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(requested)).isEmpty();
		assertThat(RelayFixture.ofType(requested, RelayEffect.RequestReservation.class)).hasSize(1);
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).isEmpty();
		List<RelayEffect> effects = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(effects)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(effects).tokens()).isZero();
	}

	// Guards against the replica timer cutting short the wait for the log.
	@Test
	void logTimeoutIsNotShortenedByUnavailableReplicas() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		List<RelayEffect> requested = relay.sendTurn("t1", "draft", RelayFixture.turn("p", 300, 100, null));
		assertThat(RelayFixture.ofType(requested, RelayEffect.RequestReservation.class)).singleElement()
			.satisfies((request) -> assertThat(request.peers()).containsExactlyInAnyOrder("a", "b", "c"));
		relay.handle(new RelayEvent.UsageUnavailable(relay.now(), "a", relay.run("t1")));
		List<RelayEffect> undecided = relay.handle(new RelayEvent.UsageUnavailable(relay.now(), "b", relay.run("t1")));
		assertThat(relay.fireTimer(TimerKind.BUDGET_DECISION)).isEmpty();
		assertThat(sends(relay.readFromLog(RelayFixture.written(undecided).getFirst()))).hasSize(1);
	}

	@Test
	void majorityOfReplicasDecides() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 300, 100, null));
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 300, 0, true, 3))))
			.isEmpty();
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 300, 0, true, 3))))
			.isEmpty();
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "c", relay.run("t1"), 100, 0, true, 3))))
			.hasSize(1);
		relay.sendTurn("t2", "draft", RelayFixture.turn("p", 300, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t2"), 400, 0, true, 3));
		assertThat(
				refusal(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t2"), 100, 0, true, 3))))
			.contains(Refusal.BUDGET_SPENT);
	}

	// Guards against using a budget twice after the loss of all relays: half of it is
	// uncommitted, so the log decides.
	@Test
	void logDecidesWhenHalfOfTheBudgetIsUncommitted() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 400, 301, true, 3));
		List<RelayEffect> received = relay
			.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t1"), 400, 250, true, 3));
		assertThat(sends(received)).isEmpty();
		assertThat(sends(relay.readFromLog(RelayFixture.written(received).getFirst()))).hasSize(1);
	}

	// Guards against waiting for an unreachable log: a quorum of relays decides, and
	// the caller has time to retry.
	@Test
	void relayWithoutTheLogRequestsReservationsImmediately() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> unreachable = relay
			.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		assertThat(RelayFixture.ofType(unreachable, RelayEffect.RequestReservation.class)).hasSize(1);
		List<RelayEffect> requested = relay.sendTurn("t2", "draft", RelayFixture.turn("q", 100, 100, null));
		assertThat(RelayFixture.ofType(requested, RelayEffect.RequestReservation.class)).hasSize(1);
		assertThat(sends(requested)).isEmpty();
		List<RelayEffect> due = relay.fireTimer(TimerKind.BUDGET_DECISION);
		assertThat(refusal(due)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(due).tokens()).isZero();
		assertThat(sends(relay.sendTurn("t3", "draft", RelayFixture.turn("r", 1000, 100, null)))).hasSize(1);
	}

	// Guards against refusing the turns whose relays are being asked when the outage of
	// the log is detected.
	@Test
	void turnThatAsksAllRelaysIsNotRefusedWhenTheLogIsFoundUnreachable() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		assertThat(
				RelayFixture.ofType(relay.fireTimer(TimerKind.BUDGET_DECISION), RelayEffect.RequestReservation.class))
			.hasSize(1);
		assertThat(refusal(relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS))))
			.isEmpty();
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).contains(Refusal.LOG_LOST);
	}

	// Guards against the timeout of the log that ends the wait for the other relays.
	@Test
	void timeoutOfTheLogDoesNotEndTheWaitForAllRelays() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).isEmpty();
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).contains(Refusal.LOG_LOST);
	}

	@Test
	void turnRunsWithoutTheLogIfAMajorityReportsLessThanHalfOfTheBudget() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 400, 100, null));
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 200, 0, false, 4))))
			.isEmpty();
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 100, 0, false, 4))))
			.isEmpty();
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t1"), 100, 0, false, 4))))
			.hasSize(1);
		assertThat(relay.handle(new RelayEvent.UsageReceived(relay.now(), "c", relay.run("t1"), 100, 0, false, 4)))
			.isEmpty();
	}

	// Guards against using a budget twice after the loss of all relays: uncommitted use
	// is limited to half.
	@Test
	void turnInTheSecondHalfOfTheBudgetNeedsTheLog() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 400, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 100, 0, false, 4));
		List<RelayEffect> received = relay
			.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t1"), 300, 0, false, 4));
		assertThat(refusal(received)).contains(Refusal.LOG_LOST);
		assertThat(RelayFixture.settled(received).tokens()).isZero();
	}

	// A relay that does not reach the log obtains the decision through one that does.
	@Test
	void relayThatReachesTheLogDecidesForOneThatDoesNot() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		List<RelayEffect> received = relay
			.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 100, 0, true, 2));
		assertThat(received)
			.containsExactly(new RelayEffect.RequestLogReservation("a", relay.run("t1"), "p", 100, 100));
		assertThat(
				sends(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t1"), 100, 0, false, 2))))
			.isEmpty();
		List<RelayEffect> decided = relay
			.handle(new RelayEvent.LogDecisionReceived(relay.now(), relay.run("t1"), true));
		assertThat(sends(decided)).hasSize(1);
		assertThat(notices(decided, NoticeCode.TURN_DECIDED).getFirst().fields())
			.contains(new NoticeField(FieldName.REASON, "PLACE"), new NoticeField(FieldName.VERDICT, "HELD"));
	}

	// Operators must be able to see how many entries this relay appends for others.
	@Test
	void entriesAppendedForAnotherRelayAreReported() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromLog();
		LedgerEntry first = new LedgerEntry.Reserved(RunId.unnumbered("t1"), "p", 100, "", List.of(), false);
		LedgerEntry second = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(first, second);
		assertThat(notices(relay.readFromLog(), NoticeCode.ENTRIES_ADOPTED)).isEmpty();
		List<RelayEffect> adopted = readLogForFourSeconds(relay);
		assertThat(RelayFixture.written(adopted)).containsExactly(first, second);
		assertThat(notices(adopted, NoticeCode.ENTRIES_ADOPTED))
			.containsExactly(NoticeCode.ENTRIES_ADOPTED.with(FieldName.COUNT, 2));
		assertThat(notices(relay.readFromLog(), NoticeCode.ENTRIES_ADOPTED)).isEmpty();
	}

	// Entries that occur several times in the log are duplicates. Copies received from
	// peers are not.
	@Test
	void duplicateEntriesInTheLogAreCounted() {
		RelayFixture relay = RelayFixture.ready();
		LedgerEntry turn = RelayFixture.settledTurn("t1", null);
		relay.readFromPeer(turn);
		assertThat(duplicates(relay.readFromPeer(turn))).isEmpty();
		assertThat(duplicates(relay.readFromLog(turn))).isEmpty();
		assertThat(duplicates(relay.readFromPeer(turn))).isEmpty();
		assertThat(duplicates(relay.readFromLog(turn, turn)))
			.containsExactly(new Measurement.LogCopies(Measurement.LogCopies.Kind.SETTLED, 2));
		assertThat(duplicates(relay.readFromLog())).isEmpty();
	}

	private static List<Measurement> duplicates(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.RecordMeasurement.class)
			.stream()
			.map(RelayEffect.RecordMeasurement::measurement)
			.filter(Measurement.LogCopies.class::isInstance)
			.toList();
	}

	private static List<RelayEffect> readLogForFourSeconds(RelayFixture relay) {
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

	// Guards against redundant log calls: relays are asked one after the other.
	@Test
	void relaysAreAskedForALogReservationOneByOne() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		relay.handle(new RelayEvent.UsageReceived(relay.now(), "a", relay.run("t1"), 100, 0, true, 2));
		assertThat(relay.handle(new RelayEvent.UsageReceived(relay.now(), "b", relay.run("t1"), 100, 0, true, 2)))
			.isEmpty();
		assertThat(relay.fireTimer(TimerKind.BUDGET_DECISION))
			.contains(new RelayEffect.RequestLogReservation("b", relay.run("t1"), "p", 100, 100));
		assertThat(refusal(relay.fireTimer(TimerKind.BUDGET_DECISION))).contains(Refusal.LOG_LOST);
	}

	@Test
	void reservationIsAppendedForAnotherRelay() {
		RelayFixture relay = RelayFixture.ready();
		relay.readFromPeer(new LedgerEntry.Reserved(RunId.unnumbered("t1"), "p", 100, "", List.of(), false));
		List<RelayEffect> requested = relay.handle(
				new RelayEvent.ReservationRequested(relay.now(), "peer", RunId.unnumbered("t1"), "p", 100, 100, true));
		List<RelayEffect> read = relay.readFromLog(RelayFixture.written(requested).toArray(new LedgerEntry[0]));
		assertThat(RelayFixture.ofType(read, RelayEffect.SendLogDecision.class))
			.containsExactly(new RelayEffect.SendLogDecision("peer", RunId.unnumbered("t1"), true));
	}

	@Test
	void reservationRequestIsAnsweredWithUsedAndUncommittedTokens() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.RELAYS));
		LedgerEntry settled = new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 30, Optional.empty());
		LedgerEntry reserved = new LedgerEntry.Reserved(RunId.unnumbered("t1"), "p", 100, "", List.of(), false);
		relay.readFromPeer(settled);
		relay.readFromPeer(reserved);
		assertThat(relay.handle(
				new RelayEvent.ReservationRequested(relay.now(), "peer", RunId.unnumbered("t1"), "p", 100, 400, false)))
			.containsExactly(new RelayEffect.SendUsage("peer", RunId.unnumbered("t1"), 130, 130, false,
					List.of(settled, reserved), List.of()));
	}

	@Test
	void unsynchronizedRelayReportsUsageAsUnavailable() {
		RelayFixture resumed = RelayFixture.ready();
		resumed.handle(new RelayEvent.ProcessResumed(resumed.now(), Duration.ofSeconds(4)));
		assertThat(resumed.handle(new RelayEvent.ReservationRequested(resumed.now(), "peer", RunId.unnumbered("t1"),
				"p", 100, 400, false)))
			.containsExactly(new RelayEffect.SendUsageUnavailable("peer", RunId.unnumbered("t1")));
		RelayFixture restarted = RelayFixture.readyAfterRestart();
		assertThat(restarted.handle(new RelayEvent.ReservationRequested(restarted.now(), "peer", RunId.unnumbered("t1"),
				"p", 100, 400, false)))
			.containsExactly(new RelayEffect.SendUsageUnavailable("peer", RunId.unnumbered("t1")));
	}

	// Guards against using a budget twice after the loss of all relays, until a
	// majority has synchronized.
	@Test
	void unsynchronizedRelayWithholdsHalfOfABudget() {
		RelayFixture relay = RelayFixture.readyAfterRestart();
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 310, Optional.empty()));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 600, 150, null))))
			.contains(Refusal.BUDGET_SPENT);
		relay.handle(new RelayEvent.SyncCompleted(relay.now(), "a", 2));
		relay.handle(new RelayEvent.SyncCompleted(relay.now(), "b", 2));
		assertThat(refusal(relay.sendTurn("t2", "draft", RelayFixture.turn("p", 600, 150, null)))).isEmpty();
	}

	// Guards against admitting a turn on state from before a pause of the process.
	@Test
	void resumedRelayAdmitsTurnsAfterItHasReadTheLog() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> resumed = relay.handle(new RelayEvent.ProcessResumed(relay.now(), Duration.ofSeconds(4)));
		assertThat(RelayFixture.ofType(resumed, RelayEffect.CatchUp.class)).hasSize(1);
		assertThat(sends(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).isEmpty();
		relay.readFromLog(new LedgerEntry.Settled(RunId.unnumbered("t0"), "p", 1000, Optional.empty()));
		List<RelayEffect> caughtUp = relay.handle(RelayFixture.caughtUp(relay.now()));
		assertThat(refusal(caughtUp)).contains(Refusal.BUDGET_SPENT);
		assertThat(sends(relay.sendTurn("t2", "draft", RelayFixture.turn("q", 1000, 100, null)))).hasSize(1);
	}

	@Test
	void resumedRelayThatCannotReadTheLogRefusesTurnsAsNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ProcessResumed(relay.now(), Duration.ofSeconds(4)));
		relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null));
		assertThat(refusal(relay.fireTimer(TimerKind.CHAIN_LOOKUP))).contains(Refusal.NOT_READY);
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	// Guards against exceeding a budget while isolated; requests without a budget still
	// run.
	@Test
	void isolatedRelayRunsNoTurns() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.ConnectivityChanged(relay.now(), Connectivity.NOTHING));
		assertThat(refusal(relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null))))
			.contains(Refusal.ISOLATED);
		assertThat(sends(relay.sendRequest("r1", "look"))).hasSize(1);
	}

	@Test
	void forwardedTokensCountWhenTheStreamFails() {
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

	// Guards against repeated or missing events when a stream resumes at another
	// upstream.
	@Test
	void resumableStreamResumesAtAnotherUpstreamAfterItsLastEvent() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "draft");
		relay.open(1);
		relay.event(1, 1);
		relay.event(1, 2);
		RelayEffect.SendRequest retried = sends(relay.fail(1, FailureCause.BROKEN)).getFirst();
		assertThat(retried.lastEvent()).hasValue(2);
		assertThat(RelayFixture.ofType(relay.open(2), RelayEffect.OpenStream.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.event(2, 2), RelayEffect.ForwardStreamEvent.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.event(2, 3), RelayEffect.ForwardStreamEvent.class)).hasSize(1);
		assertThat(streamEnds(relay.end(2))).hasSize(1);
	}

	// Guards against waiting for a connection that was lost without a reset.
	@Test
	void idempotentRequestIsRetriedWhenItsUpstreamIsIdle() {
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
	void atMostOnceRequestHasNoIdleTimeout() {
		RelayFixture relay = RelayFixture.ready();
		List<RelayEffect> requested = relay.sendRequest("r1", "order");
		assertThat(RelayFixture.ofType(requested, RelayEffect.StartTimer.class))
			.extracting(RelayEffect.StartTimer::timer)
			.containsExactly(TimerKind.DEADLINE);
	}

	// Guards against retries that lose their position in a queue when all upstreams are
	// busy.
	@Test
	void requestStaysAtItsUpstreamIfAllUpstreamsAreFull() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 3 * 6; i++) {
			relay.sendRequest("r" + i, "look");
		}
		relay.advance(200);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(sends(effects)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.StartTimer.class)).hasSize(1);
	}

	// Guards against waiting for a stream that stops between events.
	@Test
	void resumableStreamIsResumedWhenItsUpstreamIsIdle() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "draft");
		relay.open(1);
		relay.advance(700);
		relay.event(1, 1);
		relay.event(1, 2);
		relay.advance(300);
		assertThat(sends(relay.fireTimer(TimerKind.UPSTREAM_IDLE))).isEmpty();
		relay.advance(700);
		RelayEffect.SendRequest retried = sends(relay.fireTimer(TimerKind.UPSTREAM_IDLE)).getFirst();
		assertThat(retried.lastEvent()).hasValue(2);
	}

	@Test
	void streamWithAMissingEventIsAborted() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendTurn("t1", "chat", RelayFixture.turn("p", 10_000, 100, null));
		relay.open(1);
		relay.event(1, 1);
		List<RelayEffect> effects = relay.event(1, 3);
		assertThat(RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
	}

	private static List<String> replicas(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.AppendEntry.class).getFirst().replicas();
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

	private static List<RelayEffect.EndStream> streamEnds(List<RelayEffect> effects) {
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
