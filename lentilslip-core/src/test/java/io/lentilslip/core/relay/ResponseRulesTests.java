package io.lentilslip.core.relay;

import java.util.List;

import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseRulesTests {

	// A relay was frozen for half a second, and the answer of an upstream lay unread in
	// its
	// socket meanwhile. The timer that looks for silence ran first, since it was due long
	// ago, and took the relay's own delay for the upstream's: the request went out twice.
	@Test
	void delayOfTheRelayItselfIsNotTheSilenceOfAnUpstream() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(700);
		List<RelayEffect> late = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(RelayFixture.ofType(late, RelayEffect.SendRequest.class)).isEmpty();
		assertThat(RelayFixture.ofType(relay.respond(1, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
			.hasSize(1);
	}

	// The grace ends: an upstream that is still silent when the relay has caught up is
	// left.
	@Test
	void upstreamThatIsSilentWhenTheRelayIsOnTimeAgainIsLeft() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		relay.advance(700);
		RelayEffect.StartTimer again = RelayFixture
			.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.StartTimer.class)
			.getFirst();
		relay.advance(again.delay().toMillis());
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// The link of a relay is full, so that each answer reaches it after one and a half
	// times the target, whichever upstream it comes from. Measured against the target
	// alone, all upstreams were silent, and lookups that went out twice filled the link
	// further: 2,013 of "E4017 reason=SILENT" in 16 s at 31 relays, all but 31 at the 13
	// with small links. Their timers were on time: connections that were given up after
	// 400 ms ("E4017 reason=NOT_CONNECTED milliseconds=402" to 414) are all theirs.
	@Test
	void upstreamIsSilentByWhatTheOthersTake() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 20; i++) {
			answerAfter(relay, "w" + i, 300);
		}
		long asked = relay.now();
		relay.sendRequest("r", "look");
		relay.advance(200);
		RelayEffect.StartTimer again = RelayFixture
			.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.StartTimer.class)
			.getFirst();
		relay.advance(again.delay().toMillis());
		assertThat(relay.now() - asked).isGreaterThan(300);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// Answers that come soon make no relay less patient than its route says.
	@Test
	void quickAnswersDoNotShortenTheTargetOfARoute() {
		RelayFixture relay = RelayFixture.ready();
		for (int i = 0; i < 20; i++) {
			answerAfter(relay, "w" + i, 5);
		}
		relay.sendRequest("r", "look");
		relay.advance(199);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.isEmpty();
		relay.advance(1);
		assertThat(RelayFixture.ofType(relay.fireTimer(TimerKind.UPSTREAM_IDLE), RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	// All timers of a relay run 30 ms late, as on a machine with a quarter of a core. An
	// upstream that never answers is left all the same, within four times the patience of
	// its route and what the relay was late.
	@Test
	void upstreamThatIsSilentIsLeftByARelayThatIsAlwaysLate() {
		RelayFixture relay = RelayFixture.ready();
		relay.sendRequest("r1", "look");
		long asked = relay.now();
		relay.advance(230);
		List<RelayEffect> effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		while (RelayFixture.ofType(effects, RelayEffect.SendRequest.class).isEmpty() && relay.now() - asked < 2_000) {
			relay
				.advance(RelayFixture.ofType(effects, RelayEffect.StartTimer.class).getFirst().delay().toMillis() + 30);
			effects = relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		}
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).hasSize(1);
		assertThat(relay.now() - asked).isLessThan(4 * 230);
	}

	private static void answerAfter(RelayFixture relay, String id, long milliseconds) {
		relay.sendRequest(id, "look");
		relay.advance(milliseconds);
		assertThat(RelayFixture.ofType(relay.respond(1, RelayFixture.SIGNED), RelayEffect.SendResponse.class))
			.hasSize(1);
	}

}
