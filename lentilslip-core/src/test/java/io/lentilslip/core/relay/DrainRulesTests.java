package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the ways by which a draining relay could send a request to an upstream whose
 * response the end of the process would cut off.
 */
class DrainRulesTests {

	private static final long ACCEPT_MILLIS = 2_600;

	/**
	 * Less than the deadline of a request that comes when no more are accepted.
	 */
	private static final long DRAIN_MILLIS = 5_000;

	private final RelayFixture relay = RelayFixture.ready();

	@Test
	void requestIsSentWhileCallersAreRoutedHere() {
		drain();
		assertThat(sends(this.relay.sendRequest("r1", "order"))).hasSize(1);
	}

	@Test
	void lateRequestIsRefusedAsNotRun() {
		drain();
		this.relay.advance(ACCEPT_MILLIS);
		refusedAsNotRun(this.relay.sendRequest("r1", "order"));
		refusedAsNotRun(this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)));
	}

	@Test
	void lateRequestIsSentIfItsDeadlineIsBeforeTheEnd() {
		this.relay.handle(new RelayEvent.DrainStarted(this.relay.now(), this.relay.now() + ACCEPT_MILLIS,
				this.relay.now() + ACCEPT_MILLIS + 3_000));
		this.relay.advance(ACCEPT_MILLIS);
		assertThat(sends(this.relay.sendRequest("r1", "order"))).hasSize(1);
		this.relay.advance(1);
		refusedAsNotRun(this.relay.sendRequest("r2", "order"));
	}

	// Guards against sending a request whose route rarely ends within the grace period.
	@Test
	void requestIsRefusedIfItsRouteUsuallyTakesLonger() {
		this.relay.sendRequest("r1", "look");
		this.relay.advance(2_900);
		this.relay.respond(1, RelayFixture.SIGNED);
		this.relay
			.handle(new RelayEvent.DrainStarted(this.relay.now(), this.relay.now() + 1_000, this.relay.now() + 2_000));
		refusedAsNotRun(this.relay.sendRequest("r2", "look"));
		assertThat(sends(this.relay.sendRequest("r3", "order"))).hasSize(1);
	}

	@Test
	void turnThatWaitedForTheLogIsRefusedAsNotRun() {
		this.relay.handle(new RelayEvent.ProcessResumed(this.relay.now(), Duration.ofSeconds(4)));
		assertThat(sends(this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).isEmpty();
		drainSoon();
		refusedAsNotRun(this.relay.handle(RelayFixture.caughtUp(this.relay.now())));
	}

	// Guards against a reservation that is kept for a turn that is not sent.
	@Test
	void turnThatWaitedForItsBudgetIsRefusedAsNotRun() {
		List<RelayEffect> undecided = this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 100, 100, null));
		assertThat(sends(undecided)).isEmpty();
		drainSoon();
		refusedAsNotRun(this.relay.readFromLog(RelayFixture.written(undecided).getFirst()));
		assertThat(this.relay.usedTokens("p")).isZero();
	}

	@Test
	void streamThatWaitedForItsVersionIsRefusedAsNotRun() {
		this.relay.handle(new RelayEvent.PeerConnected(this.relay.now(), "a"));
		assertThat(sends(this.relay.sendRequest(RelayFixture.resuming("t2", "t1", 1), "body"))).isEmpty();
		drainSoon();
		refusedAsNotRun(this.relay.handle(new RelayEvent.StreamVersionReceived(this.relay.now(), RunId.unnumbered("t1"),
				new StreamAttempt(new SoftwareVersion(RelayFixture.ENGINE, "v1"), 1))));
	}

	@Test
	void rejectedRequestIsNotSentAgain() {
		this.relay.sendRequest("r1", "order");
		drainSoon();
		refusedAsNotRun(this.relay.respond(1, RelayFixture.FULL));
	}

	// Guards against a promise that a request has not run that may have.
	@Test
	void brokenRequestIsNotSentAgainAndMayHaveRun() {
		this.relay.sendRequest("r1", "look");
		this.relay.written(1);
		drainSoon();
		List<RelayEffect> effects = this.relay.fail(1, FailureCause.BROKEN);
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).isEqualTo(Refusal.ANSWER_LOST);
	}

	@Test
	void idleUpstreamIsNotReplaced() {
		this.relay.sendRequest("r1", "look");
		this.relay.handle(new RelayEvent.DrainStarted(this.relay.now(), this.relay.now(), this.relay.now() + 1_000));
		this.relay.advance(200);
		List<RelayEffect> effects = this.relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(sends(effects)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).isEmpty();
	}

	@Test
	void streamIsNotResumedAtAnotherUpstream() {
		this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null));
		this.relay.written(1);
		this.relay.open(1);
		this.relay.event(1, 1);
		drainSoon();
		List<RelayEffect> effects = this.relay.fail(1, FailureCause.BROKEN);
		assertThat(sends(effects)).isEmpty();
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
	}

	// Guards against connections that end without a response.
	@Test
	void requestsInFlightAreAnsweredAtTheEnd() {
		this.relay.sendRequest("r1", "order");
		this.relay.written(1);
		this.relay.sendRequest("r2", "order");
		this.relay.handle(new RelayEvent.ProcessResumed(this.relay.now(), Duration.ofSeconds(4)));
		this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null));
		drain();
		List<RelayEffect> effects = this.relay.handle(new RelayEvent.DrainEnded(this.relay.now()));
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class)).extracting(RelayEffect.Refuse::refusal)
			.containsExactlyInAnyOrder(Refusal.ANSWER_LOST, Refusal.DRAINING, Refusal.DRAINING);
		assertThat(RelayFixture.ofType(effects, RelayEffect.CancelAttempt.class)).hasSize(2);
	}

	@Test
	void streamInFlightIsBrokenOffAtTheEnd() {
		this.relay.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null));
		this.relay.written(1);
		this.relay.open(1);
		drain();
		List<RelayEffect> effects = this.relay.handle(new RelayEvent.DrainEnded(this.relay.now()));
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
	}

	private void drain() {
		this.relay.handle(new RelayEvent.DrainStarted(this.relay.now(), this.relay.now() + ACCEPT_MILLIS,
				this.relay.now() + DRAIN_MILLIS));
	}

	// The drain ends before the deadline of a request that is in flight.
	private void drainSoon() {
		this.relay
			.handle(new RelayEvent.DrainStarted(this.relay.now(), this.relay.now() + 500, this.relay.now() + 1_000));
		this.relay.advance(500);
	}

	private static void refusedAsNotRun(List<RelayEffect> effects) {
		assertThat(sends(effects)).isEmpty();
		assertThat(refusal(effects)).isEqualTo(Refusal.DRAINING);
		assertThat(Refusal.DRAINING.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().retryAfter()).isPresent();
	}

	private static Refusal refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().refusal();
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

}
