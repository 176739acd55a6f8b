package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;

import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseRulesTests {

	// Guards against retrying a request when the relay itself was delayed: the response
	// may be unread in its socket.
	@Test
	void delayOfTheRelayIsNotAnIdleUpstream() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(700);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.respond(1, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
			.hasSize(1);
	}

	// Guards against retrying a request at a relay whose timers run before its sockets
	// are
	// read.
	@Test
	void delayOfTheEventLoopIsNotAnIdleUpstream() {
		RelayFixture relay = RelayFixture.ready();
		relay.handle(new RelayEvent.EventLoopDelayed(relay.now(), Duration.ofMillis(600)));
		relay.sendRequest("r1", "look");
		relay.advance(200);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).isEmpty();
		relay.advance(RelayFixture.ofType(effects, RelayEffect.StartTimer.class).getFirst().delay().toMillis());
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Guards against texts of turns without end that fill the memory.
	@Test
	void largestStreamGivesWayIfTooMuchIsKept() {
		RelayFixture relay = RelayFixture.ready();
		long ordinary = beginTurn(relay, "t1");
		long endless = beginTurn(relay, "t2");
		assertThat(aborted(relay, event(ordinary, 1, 400_000))).isEmpty();
		assertThat(aborted(relay, event(endless, 1, 500_000))).isEmpty();
		assertThat(aborted(relay, event(endless, 2, 100_000))).containsExactly(endless);
		assertThat(aborted(relay, event(ordinary, 2, 500_000))).isEmpty();
	}

	private static long beginTurn(RelayFixture relay, String id) {
		relay.sendTurn(id, "chat", RelayFixture.turn(id, 10_000, 100, null));
		relay.written(1);
		relay.open(1);
		return relay.exchange();
	}

	private static RelayEvent event(long exchange, long number, int bytes) {
		byte[] data = new byte[bytes];
		return new RelayEvent.StreamEventReceived(1000, exchange, 1, number, data, data);
	}

	private static List<Long> aborted(RelayFixture relay, RelayEvent event) {
		return RelayFixture.ofType(relay.handle(event), RelayEffect.AbortConnection.class)
			.stream()
			.map(RelayEffect.AbortConnection::exchange)
			.toList();
	}

	// The extension is granted once: an upstream that stays idle is replaced.
	@Test
	void idleTimeoutIsExtendedOnce() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(700);
		RelayEffect.StartTimer timer = RelayFixture
			.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.StartTimer.class)
			.getFirst();
		relay.advance(timer.delay().toMillis());
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Guards against retries that add load to a saturated link, through which all
	// upstreams respond slower than the latency target.
	@Test
	void idleTimeoutFollowsTheLatencyOfOtherRequests() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 20; i++) {
			respondAfter(relay, "w" + i, 300);
		}
		long sentAt = relay.now();
		relay.sendRequest("r", "look");
		relay.advance(200);
		RelayEffect.StartTimer timer = RelayFixture
			.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.StartTimer.class)
			.getFirst();
		relay.advance(timer.delay().toMillis());
		assertThat(relay.now() - sentAt).isGreaterThan(300);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Operators see how long a request waited for its connection.
	@Test
	void lateWriteIsReported() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(99);
		assertThat(RelayFixture.ofType(relay.written(1), RelayEffect.WriteNotice.class)).isEmpty();
		relay.sendRequest("r2", "look");
		relay.advance(100);
		assertThat(RelayFixture.ofType(relay.written(1), RelayEffect.WriteNotice.class)).singleElement()
			.satisfies((effect) -> assertThat(effect.notice().code()).isEqualTo(NoticeCode.REQUEST_WRITTEN_LATE));
	}

	// Guards against taking the wait for a connection for an idle upstream.
	@Test
	void idleTimeoutStartsWhenTheRequestIsWritten() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(190);
		relay.written(1);
		relay.advance(10);
		RelayEffect.StartTimer timer = RelayFixture
			.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.StartTimer.class)
			.getFirst();
		assertThat(timer.delay()).isEqualTo(Duration.ofMillis(190));
		relay.advance(190);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Guards against reporting a request as possibly run that was never written.
	@Test
	void requestThatIsNotWrittenHasNotRun() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(200);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
		assertThat(refusal(relay.respond(2, RelayFixture.FULL))).isEqualTo(Refusal.NO_UPSTREAM);
		relay.sendRequest("r2", "order");
		relay.advance(3_000);
		assertThat(refusal(relay.fireTimer(TimerKind.DEADLINE))).isEqualTo(Refusal.EXPIRED);
	}

	// Guards against a timeout below the latency target of the route.
	@Test
	void fastResponsesDoNotShortenTheIdleTimeoutOfARoute() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 20; i++) {
			respondAfter(relay, "w" + i, 5);
		}
		relay.sendRequest("r", "look");
		relay.advance(199);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.isEmpty();
		relay.advance(1);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Guards against a relay whose timers always fire late never replacing an idle
	// upstream.
	@Test
	void idleUpstreamIsReplacedByARelayWithLateTimers() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		long sentAt = relay.now();
		relay.advance(230);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		while (RelayFixture.ofType(effects, RelayEffect.SendRequest.class).isEmpty() && relay.now() - sentAt < 2_000) {
			relay
				.advance(RelayFixture.ofType(effects, RelayEffect.StartTimer.class).getFirst().delay().toMillis() + 30);
			effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		}
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).hasSize(1);
		assertThat(relay.now() - sentAt).isLessThan(4 * 230);
	}

	private static Refusal refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().refusal();
	}

	private static void respondAfter(RelayFixture relay, String id, long milliseconds) {
		relay.sendRequest(id, "look");
		relay.advance(milliseconds);
		assertThat(RelayFixture.ofType(relay.respond(1, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
			.hasSize(1);
	}

}
