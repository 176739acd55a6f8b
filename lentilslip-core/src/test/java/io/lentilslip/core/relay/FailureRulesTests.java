package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.lentilslip.core.relay.RelayEvent.FailureCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what counts as a failure of an upstream against a request.
 */
class FailureRulesTests {

	private final RelayFixture relay = RelayFixture.ready();

	// Guards against refusing a target at all relays because connections to living
	// upstreams were reset or garbled.
	@ParameterizedTest
	@EnumSource(names = { "BROKEN", "UNREADABLE" })
	void lostConnectionToALivingUpstreamIsNoFailure(FailureCause cause) {
		this.relay.answerRequests("order", 50);
		List<RelayEffect> effects = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			Upstream upstream = send("r" + i);
			effects.addAll(this.relay.fail(1, cause));
			effects.addAll(this.relay.probed(upstream, false));
		}
		assertThat(RelayFixture.written(effects)).isEmpty();
		send("r4");
	}

	@Test
	void brokenAttemptCountsOnceItsUpstreamRefusesConnections() {
		Upstream upstream = send("r1");
		List<RelayEffect> effects = this.relay.fail(1, FailureCause.BROKEN);
		assertThat(RelayFixture.written(effects)).isEmpty();
		assertThat(probes(effects)).containsExactly(new RelayEffect.ProbeUpstream(upstream, Duration.ZERO));
		assertThat(RelayFixture.writtenWithoutRuns(this.relay.probed(upstream, true)))
			.containsExactlyElementsOf(failures("r1", upstream));
	}

	// Guards against taking an upstream for alive that closes its connections before it
	// stops to accept new ones.
	@Test
	void upstreamIsProbedAgainAfterABrokenConnection() {
		Upstream upstream = send("r1");
		this.relay.fail(1, FailureCause.BROKEN);
		assertThat(probes(this.relay.probed(upstream, false)))
			.containsExactly(new RelayEffect.ProbeUpstream(upstream, Duration.ofMillis(100)));
		assertThat(probes(this.relay.probed(upstream, false))).hasSize(1);
		assertThat(probes(this.relay.probed(upstream, false))).hasSize(1);
		assertThat(probes(this.relay.probed(upstream, false))).isEmpty();
	}

	@Test
	void upstreamThatRespondsAfterABrokenConnectionIsNotProbedAgain() {
		remove(RelayFixture.upstream("s2", RelayFixture.SHOP));
		remove(RelayFixture.upstream("s3", RelayFixture.SHOP));
		Upstream upstream = send("r1");
		this.relay.fail(1, FailureCause.BROKEN);
		this.relay.advance(1);
		send("r2");
		this.relay.respond(1, RelayFixture.SIGNED);
		assertThat(probes(this.relay.probed(upstream, false))).isEmpty();
		assertThat(RelayFixture.written(remove(upstream))).isEmpty();
	}

	@Test
	void brokenAttemptCountsOnceItsIncarnationIsGone() {
		Upstream upstream = send("r1");
		this.relay.fail(1, FailureCause.BROKEN);
		this.relay.advance(10_000);
		assertThat(RelayFixture.writtenWithoutRuns(remove(upstream)))
			.containsExactlyElementsOf(failures("r1", upstream));
	}

	// Guards against counting a reset for an upstream that ends much later.
	@Test
	void brokenAttemptDoesNotCountLater() {
		Upstream upstream = send("r1");
		this.relay.fail(1, FailureCause.BROKEN);
		this.relay.advance(10_001);
		assertThat(RelayFixture.written(remove(upstream))).isEmpty();
	}

	// Guards against blaming the requests of an upstream that is stopped for a release.
	@Test
	void endOfADrainingUpstreamIsNoFailure() {
		Upstream first = send("r1");
		drain(first);
		assertThat(probes(this.relay.fail(1, FailureCause.BROKEN))).isEmpty();
		assertThat(RelayFixture.written(remove(first))).isEmpty();
		Upstream second = send("r2");
		this.relay.fail(1, FailureCause.BROKEN);
		drain(second);
		assertThat(RelayFixture.written(this.relay.probed(second, true))).isEmpty();
		assertThat(RelayFixture.written(remove(second))).isEmpty();
		Upstream third = send("r3");
		drain(third);
		remove(third);
		assertThat(RelayFixture.written(this.relay.fail(1, FailureCause.BROKEN))).isEmpty();
	}

	// Guards against blaming an answered request for an upstream whose end is seen late.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void answeredRequestIsNotBlamedForAnEarlierAttempt(boolean broken) {
		Upstream first = RelayFixture.ofType(this.relay.sendRequest("r1", "look"), RelayEffect.SendRequest.class)
			.getFirst()
			.upstream();
		this.relay.written(1);
		if (broken) {
			this.relay.fail(1, FailureCause.BROKEN);
		}
		else {
			this.relay.advance(250);
			this.relay.fireTimer(RelayEvent.TimerKind.UPSTREAM_IDLE);
			this.relay.advance(250);
			this.relay.fireTimer(RelayEvent.TimerKind.UPSTREAM_IDLE);
		}
		this.relay.written(2);
		assertThat(this.relay.respond(2, RelayFixture.SIGNED))
			.hasAtLeastOneElementOfType(RelayEffect.SendResponse.class);
		assertThat(RelayFixture.written(remove(first))).isEmpty();
	}

	private void drain(Upstream upstream) {
		this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(), new Upstream(upstream.id(),
				upstream.service(), "10.0.0.1", 80, "zone-a", 6, true, OptionalLong.empty(), "v1")));
	}

	private Upstream send(String request) {
		List<RelayEffect> effects = this.relay.sendRequest(request, "order");
		Upstream upstream = RelayFixture.ofType(effects, RelayEffect.SendRequest.class).getFirst().upstream();
		this.relay.written(1);
		return upstream;
	}

	private List<RelayEffect> remove(Upstream upstream) {
		return this.relay.handle(new RelayEvent.UpstreamRemoved(this.relay.now(), upstream.id()));
	}

	private static List<LedgerEntry> failures(String request, Upstream upstream) {
		return RelayFixture.failures(request, "order", upstream.incarnationId());
	}

	private static List<RelayEffect.ProbeUpstream> probes(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.ProbeUpstream.class);
	}

}
