package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests whose id was used by an earlier attempt of their caller.
 */
class RepeatedRequestTests {

	private static final int EVENTS = 5;

	private final RelayFixture relay = RelayFixture.ready();

	// Guards against a turn that is not counted since an attempt that did not run was
	// settled.
	@Test
	void turnIsCountedAfterAnAttemptThatDidNotRun() {
		this.relay.sendTurn("t1", "draft", turn());
		this.relay.respond(1, RelayFixture.FULL);
		this.relay.respond(2, RelayFixture.FULL);
		assertThat(this.relay.usedTokens("p")).isZero();
		this.relay.sendTurn("t1", "draft", turn());
		stream("b");
		assertThat(this.relay.usedTokens("p")).isEqualTo(EVENTS * RelayFixture.TOKENS_PER_EVENT);
	}

	// Guards against a reservation that covers two running turns.
	@Test
	void concurrentTurnsAreBothCounted() {
		this.relay.sendTurn("t1", "draft", turn());
		this.relay.sendTurn("t1", "draft", turn());
		assertThat(RelayFixture.ofType(this.relay.all, RelayEffect.SendRequest.class)).hasSize(2);
		assertThat(this.relay.usedTokens("p")).isEqualTo(200);
	}

	// Guards against a turn that continues an answer which its caller did not get.
	@Test
	void chainHasTheAnswerOfTheAttemptThatTheCallerGot() {
		this.relay.sendTurn("t1", "chat", turn());
		stream("a");
		this.relay.handle(new RelayEvent.CallerDisconnected(this.relay.now(), this.relay.exchange()));
		this.relay.sendTurn("t1", "chat", turn());
		stream("b");
		List<RelayEffect> stored = this.relay.stored("t1");
		assertThat(RelayFixture.ofType(stored, RelayEffect.EndStream.class)).hasSize(1);
		List<RelayEffect> next = this.relay.sendTurn("t2", "chat", RelayFixture.turn("p", 10_000, 100, "t1"));
		assertThat(new String(RelayFixture.ofType(next, RelayEffect.SendRequest.class).getFirst().prefix()))
			.doesNotContain("a1")
			.contains("b1");
	}

	// Guards against a stream that is continued at the version of an earlier attempt of
	// the caller.
	@Test
	void resumedStreamHasTheVersionOfTheLastAttempt() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn());
		list(engine("a", "v1"), engine("b", "v2"));
		this.relay.fail(1, FailureCause.BROKEN);
		this.relay.fail(2, FailureCause.BROKEN);
		list(engine("c", "v1"));
		this.relay.sendTurn("t1", "draft", turn());
		this.relay.open(1);
		this.relay.event(1, 1);
		this.relay.fail(1, FailureCause.BROKEN);
		list(engine("c", "v1"), engine("e", "v1"), engine("f", "v2"));
		List<RelayEffect> resumed = this.relay.sendRequest(RelayFixture.resuming("t2", "t1", 1), "body");
		assertThat(RelayFixture.ofType(resumed, RelayEffect.SendRequest.class).getFirst().upstream().version())
			.isEqualTo("v1");
	}

	// Guards against a stream that another relay, which knows the earlier attempt only,
	// resumes at the version of that attempt.
	@Test
	void eventsAtAnotherVersionThanThatOfTheEarlierAttemptWaitForTheLog() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn());
		this.relay.fail(1, FailureCause.BROKEN);
		list(engine("c", "v2"));
		this.relay.sendTurn("t1", "draft", turn());
		this.relay.open(1);
		assertThat(RelayFixture.ofType(this.relay.event(1, 1), RelayEffect.ForwardStreamEvent.class)).isEmpty();
		assertThat(RelayFixture.ofType(this.relay.streamStored("t1", 1), RelayEffect.ForwardStreamEvent.class))
			.hasSize(1);
	}

	// Guards against a request that fails upstreams without end since its id was answered
	// before.
	@Test
	void failuresOfARepeatCountAfterAnEarlierRunWasAnswered() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "chat", turn());
		stream("a");
		this.relay.stored("t1");
		for (String upstream : List.of("b", "c", "d")) {
			list(engine(upstream, "v1"));
			this.relay.sendTurn("t1", "chat", turn());
			this.relay.crash(1);
		}
		list(engine("e", "v1"));
		assertThat(RelayFixture.ofType(this.relay.sendTurn("t1", "chat", turn()), RelayEffect.Refuse.class))
			.extracting(RelayEffect.Refuse::refusal)
			.containsExactly(Refusal.BLAMED);
	}

	// Guards against a settlement that is read late and takes back the failures of a
	// later
	// run.
	@Test
	void settlementOfAnEarlierRunLeavesTheFailuresOfARepeat() {
		RunId first = RunId.first("t1", 7);
		for (String upstream : List.of("u1", "u2", "u3")) {
			this.relay
				.readFromLog(new LedgerEntry.UpstreamFailed(first.next(7), RelayFixture.digest("/chat/x"), upstream));
		}
		this.relay.readFromLog(new LedgerEntry.Settled(first, "p", 10, Optional.of(RelayFixture.location(null))));
		assertThat(RelayFixture.ofType(this.relay.sendTurn("t1", "chat", turn()), RelayEffect.Refuse.class))
			.extracting(RelayEffect.Refuse::refusal)
			.containsExactly(Refusal.BLAMED);
	}

	// Guards against a chain that goes on with an earlier run of which only the location
	// of its text was known.
	@Test
	void repeatFollowsTheRunOfAKnownLocation() {
		RunId known = RunId.first("t1", -1);
		this.relay.handle(new RelayEvent.TextLocationsReceived(this.relay.now(), "peer", List.of(new TurnLocation(known,
				new TextLocation(Optional.empty(), 1, 0, 0, Optional.empty(), Duration.ZERO, false)))));
		this.relay.sendTurn("t1", "chat", turn());
		assertThat(this.relay.run("t1").follows(known)).isTrue();
	}

	private void stream(String text) {
		int attempt = RelayFixture.ofType(this.relay.all, RelayEffect.SendRequest.class).getLast().attempt();
		this.relay.open(attempt);
		for (int i = 1; i <= EVENTS; i++) {
			byte[] data = (text + i).getBytes();
			this.relay.handle(new RelayEvent.StreamEventReceived(this.relay.now(), this.relay.exchange(), attempt, i,
					data, data));
		}
		this.relay.end(attempt);
	}

	private void list(Upstream... upstreams) {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of(upstreams)));
	}

	private static Upstream engine(String id, String version) {
		return RelayFixture.engine(id, version, false);
	}

	private static RequestHead.Turn turn() {
		return RelayFixture.turn("p", 10_000, 100, null);
	}

}
