package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that make upstreams fail and return with other content.
 */
class PoisonTargetTests {

	private static final int ANSWERED = 50;

	private final RelayFixture relay = RelayFixture.ready();

	// Guards against failing three upstreams for each program and context in which a
	// poison request returns.
	@Test
	void poisonRequestThatReturnsWithOtherContentIsRefused() {
		this.relay.answerRequests("order", ANSWERED);
		for (int i = 1; i <= 3; i++) {
			assertThat(sends(this.relay.sendRequest("r" + i, "order", "poison", "context " + i))).hasSize(1);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
		}
		assertThat(refusal(this.relay.sendRequest("r4", "order", "poison", "context 4"))).contains(Refusal.BLAMED);
		assertThat(sends(this.relay.sendRequest("r5", "order", "other", "context 5"))).hasSize(1);
	}

	// Guards against refusing all requests of an endpoint because some of them were in
	// flight when upstreams failed.
	@Test
	void targetThatIsAnsweredIsNotPoison() {
		this.relay.answerRequests("order", ANSWERED);
		this.relay.sendRequest("r0", "order", "shared", "content");
		this.relay.respond(1, RelayFixture.SIGNED);
		for (int i = 1; i <= 5; i++) {
			assertThat(sends(this.relay.sendRequest("r" + i, "order", "shared", "content " + i))).hasSize(1);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
		}
	}

	// Guards against sending a poison request on while upstreams fail before they answer
	// others.
	@Test
	void poisonTargetIsRefusedBeforeOthersAreAnswered() {
		for (int i = 0; i < 8; i++) {
			this.relay.sendRequest("other" + i, "order", "other" + i, "other " + i);
		}
		for (int i = 1; i <= 3; i++) {
			assertThat(sends(this.relay.sendRequest("r" + i, "order", "poison", "context " + i))).hasSize(1);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
		}
		assertThat(refusal(this.relay.sendRequest("r4", "order", "poison", "context 4"))).contains(Refusal.BLAMED);
	}

	// Guards against refusing all requests of an endpoint after a restart, when none has
	// been answered yet.
	@Test
	void targetOfMostRequestsIsNotPoison() {
		for (int i = 1; i <= 12; i++) {
			assertThat(sends(this.relay.sendRequest("r" + i, "order", "shared", "content " + i))).hasSize(1);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
		}
	}

	// Guards against refusing a harmless target for good that was in flight at each
	// failure.
	@Test
	void targetIsSentAgainAfterAMinute() {
		this.relay.answerRequests("order", ANSWERED);
		for (int i = 1; i <= 3; i++) {
			this.relay.sendRequest("r" + i, "order", "harmless", "content " + i);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
		}
		assertThat(refusal(this.relay.sendRequest("r4", "order", "harmless", "content 4"))).contains(Refusal.BLAMED);
		this.relay.advance(60_000);
		assertThat(refusal(this.relay.sendRequest("r5", "order", "harmless", "content 5"))).contains(Refusal.BLAMED);
		this.relay.advance(1);
		assertThat(sends(this.relay.sendRequest("r6", "order", "harmless", "content 6"))).hasSize(1);
		this.relay.respond(1, RelayFixture.SIGNED);
		assertThat(sends(this.relay.sendRequest("r7", "order", "harmless", "content 7"))).hasSize(1);
	}

	// Guards against a poison request that makes three more upstreams fail each minute.
	@Test
	void targetThatFailsAgainAfterAMinuteIsRefusedAtOnce() {
		refuseTarget();
		this.relay.advance(60_001);
		assertThat(sends(this.relay.sendRequest("r5", "order", "poison", "content 5"))).hasSize(1);
		this.relay.crash(1);
		assertThat(refusal(this.relay.sendRequest("r6", "order", "poison", "content 6"))).contains(Refusal.BLAMED);
	}

	// Guards against each relay trying a poison request for itself after its own minute.
	@Test
	void failureAtAnotherRelayExtendsTheRefusal() {
		long target = refuseTarget();
		this.relay.advance(59_000);
		this.relay.readFromLog(new LedgerEntry.UpstreamFailed("r0", target, "other"));
		this.relay.advance(59_000);
		assertThat(refusal(this.relay.sendRequest("r5", "order", "poison", "content 5"))).contains(Refusal.BLAMED);
	}

	private long refuseTarget() {
		this.relay.answerRequests("order", ANSWERED);
		long target = 0;
		for (int i = 1; i <= 3; i++) {
			this.relay.sendRequest("r" + i, "order", "poison", "content " + i);
			target = ((LedgerEntry.UpstreamFailed) RelayFixture.written(this.relay.crash(1)).getFirst()).digest();
			replaceUpstreams(i);
		}
		assertThat(refusal(this.relay.sendRequest("r4", "order", "poison", "content 4"))).contains(Refusal.BLAMED);
		return target;
	}

	// Guards against refusing a conversation at the relays that did not answer its turns.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void failuresOfTurnsThatWereAnsweredElsewhereDoNotCount(boolean settledFirst) {
		RelayFixture started = RelayFixture.readyAfterRestart();
		started.answerRequests("chat", ANSWERED);
		for (int i = 1; i <= 4; i++) {
			List<LedgerEntry> entries = new ArrayList<>(RelayFixture.failures("r" + i, "chat", "u" + i));
			entries.add(settledFirst ? 0 : 2, RelayFixture.settledTurn("r" + i, null));
			started.readFromLog(entries.toArray(new LedgerEntry[0]));
		}
		assertThat(refusal(started.sendRequest("r5", "chat"))).isEmpty();
	}

	// Guards against refusing a target at the relays that did not answer its requests,
	// which are no turns.
	@Test
	void failuresOfRequestsThatWereAnsweredElsewhereDoNotCount() {
		RelayFixture other = RelayFixture.readyAfterRestart();
		other.answerRequests("look", ANSWERED);
		for (int i = 1; i <= 3; i++) {
			this.relay.sendRequest("r" + i, "look", "shared", "content " + i);
			List<RelayEffect> effects = new ArrayList<>(this.relay.crash(1));
			effects.addAll(this.relay.respond(2, RelayFixture.SIGNED));
			other.readFromLog(RelayFixture.written(effects).toArray(new LedgerEntry[0]));
			replaceUpstreams(i);
		}
		assertThat(refusal(other.sendRequest("r4", "look", "shared", "content 4"))).isEmpty();
	}

	// Guards against the same while the log is away.
	@Test
	void failuresAreTakenBackOverLinks() {
		this.relay.handle(new RelayEvent.PeerConnected(this.relay.now(), "peer"));
		this.relay.sendRequest("r1", "look");
		this.relay.crash(1);
		assertThat(RelayFixture.ofType(this.relay.respond(2, RelayFixture.SIGNED), RelayEffect.AppendEntry.class))
			.hasSize(2)
			.allSatisfy((append) -> assertThat(append.replicas()).containsExactly("peer"));
	}

	// Guards against forgetting failures at an upstream that rejects the request before
	// it can fail.
	@Test
	void errorResponseDoesNotClearFailures() {
		for (int i = 1; i <= 3; i++) {
			assertThat(sends(this.relay.sendRequest("r" + i, "order", "poison", "content"))).hasSize(1);
			this.relay.fail(1, FailureCause.BROKEN);
			replaceUpstreams(i);
			if (i == 2) {
				this.relay.sendRequest("error", "order", "poison", "content");
				this.relay.respond(1, new ResponseHead(500, List.of(), false, true, Optional.empty()));
			}
		}
		assertThat(refusal(this.relay.sendRequest("r4", "order", "poison", "content"))).contains(Refusal.BLAMED);
	}

	// Guards against refusing a stream that was resumed after each failure and answered.
	@Test
	void streamThatIsAnsweredAfterEachFailureIsNotPoison() {
		for (int i = 1; i <= 4; i++) {
			replaceEngines(i);
			assertThat(sends(this.relay.sendRequest("r" + i, "draft", "x", "content"))).hasSize(1);
			this.relay.open(1);
			this.relay.event(1, 1);
			assertThat(sends(this.relay.crash(1))).hasSize(1);
			this.relay.open(2);
			this.relay.event(2, 2);
			this.relay.end(2);
		}
	}

	// Guards against taking the events of a request that crashes its upstreams for a sign
	// that it is harmless.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3 })
	void requestThatCrashesUpstreamsAfterEventsIsRefused(int events) {
		for (int i = 1; i <= 3; i++) {
			replaceEngines(i);
			assertThat(sends(this.relay.sendRequest("r" + i, "draft", "x", "content"))).hasSize(1);
			this.relay.open(1);
			for (int number = 1; number <= events; number++) {
				this.relay.event(1, number);
			}
			this.relay.crash(1);
			this.relay.handle(new RelayEvent.CallerDisconnected(this.relay.now(), this.relay.exchange()));
		}
		assertThat(refusal(this.relay.sendRequest("r4", "draft", "x", "content"))).contains(Refusal.BLAMED);
	}

	// Guards against missing an upstream that hangs after events and then disappears.
	@Test
	void silentUpstreamThatDisappearsAfterEventsCountsAsFailed() {
		Upstream upstream = sends(this.relay.sendRequest("r1", "draft")).getFirst().upstream();
		this.relay.written(1);
		this.relay.open(1);
		this.relay.event(1, 1);
		this.relay.handle(new RelayEvent.CallerDisconnected(this.relay.now(), this.relay.exchange()));
		assertThat(RelayFixture
			.writtenWithoutRuns(this.relay.handle(new RelayEvent.UpstreamRemoved(this.relay.now(), upstream.id()))))
			.containsExactlyElementsOf(RelayFixture.failures("r1", "draft", upstream.incarnationId()));
	}

	private void replaceEngines(int incarnation) {
		for (String id : List.of("e1", "e2")) {
			this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(),
					RelayFixture.withStartTime(id, RelayFixture.ENGINE, incarnation)));
		}
	}

	// Guards against sending a poison request through a relay that has just started.
	@Test
	void startingRelayLearnsPoisonRequestsFromTheLog() {
		RelayFixture started = RelayFixture.afterRestart();
		Upstream upstream = RelayFixture.upstream("u", RelayFixture.SHOP);
		long target = failuresOfTarget(upstream).getFirst().digest();
		for (String incarnation : List.of("u1", "u2", "u3")) {
			started.readFromLog(new LedgerEntry.UpstreamFailed("r0", target, incarnation));
		}
		started.answerRequests("order", ANSWERED);
		assertThat(refusal(started.sendRequest("r1", "order", "poison", "other content"))).contains(Refusal.BLAMED);
	}

	// Guards against counting the failure of a target only at the relay that saw it.
	@Test
	void failureOfATargetIsWrittenBesideThatOfTheContent() {
		assertThat(failuresOfTarget(RelayFixture.upstream("u", RelayFixture.SHOP))).hasSize(2)
			.extracting(LedgerEntry.UpstreamFailed::digest)
			.doesNotHaveDuplicates();
	}

	private List<LedgerEntry.UpstreamFailed> failuresOfTarget(Upstream upstream) {
		this.relay.answerRequests("order", ANSWERED);
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of(upstream)));
		this.relay.sendRequest("r0", "order", "poison", "content");
		return RelayFixture.written(this.relay.crash(1)).stream().map(LedgerEntry.UpstreamFailed.class::cast).toList();
	}

	private void replaceUpstreams(int incarnation) {
		for (String id : List.of("s1", "s2", "s3")) {
			this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(),
					RelayFixture.withStartTime(id, RelayFixture.SHOP, incarnation)));
		}
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

	private static Optional<Refusal> refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class)
			.stream()
			.map(RelayEffect.Refuse::refusal)
			.findFirst();
	}

}
