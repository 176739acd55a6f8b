package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaRulesTests {

	private static final Duration LATER = Duration.ofMillis(700);

	private final RelayFixture relay = RelayFixture.ready();

	QuotaRulesTests() {
		RouteTable plain = RelayFixture.table();
		Team red = new Team("red", OptionalInt.empty(), Optional.of(new Quota(10, 10)));
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(), new RouteTable(2, plain.routes(),
				plain.services(), plain.limits(), Optional.of(new Teams(Map.of(KeyDigest.of("key"), red))))));
		this.relay.handle(new RelayEvent.ListenerStarted(this.relay.now(), "own"));
		this.relay.handle(new RelayEvent.MembershipUpdated(this.relay.now(),
				List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		this.relay.all.clear();
	}

	// Two requests of one program wait, and the permit of the second one goes to a
	// program that was turned away.
	@Test
	void eachProgramThatBeginsGetsItsOwnAnswer() {
		ask("r1", "p");
		PermitRequest first = requested().getFirst();
		ask("r2", "q");
		ask("r3", "q");
		ask("r4", "s");
		grant(first, 0, true);
		PermitRequest second = requested().getLast();
		assertThat(second.newPrograms()).hasSize(3);
		List<RelayEffect> granted = grant(second, 0, true, true, false);
		assertThat(RelayFixture.ofType(granted, RelayEffect.SendRequest.class)).hasSize(2);
		assertThat(RelayFixture.ofType(granted, RelayEffect.Refuse.class)).singleElement()
			.isEqualTo(new RelayEffect.Refuse(this.relay.exchange(), Refusal.QUOTA_SPENT, Optional.of(LATER)));
	}

	// The relay that counts for the team is lost: requests wait for it until their
	// callers leave.
	@Test
	void nextRelayIsAskedWhereTheFirstDoesNotAnswer() {
		ask("r1", "p");
		this.relay.advance(60);
		this.relay.fireTimer(TimerKind.PERMIT);
		assertThat(RelayFixture.ofType(this.relay.all, RelayEffect.RequestPermits.class))
			.extracting(RelayEffect.RequestPermits::peer)
			.doesNotHaveDuplicates()
			.hasSize(2);
		this.relay.advance(60);
		this.relay.fireTimer(TimerKind.PERMIT);
		this.relay.advance(60);
		assertThat(RelayFixture.ofType(this.relay.fireTimer(TimerKind.PERMIT), RelayEffect.Refuse.class))
			.singleElement()
			.extracting(RelayEffect.Refuse::refusal)
			.isEqualTo(Refusal.QUOTA_UNKNOWN);
	}

	// No upstream takes a request, and its team pays for it all the same.
	@Test
	void permitOfARequestThatWasNotSentIsSpentOnTheNext() {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of()));
		ask("r1", "p");
		grant(requested().getFirst(), 0, true);
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(),
				List.of(RelayFixture.upstream("s1", RelayFixture.SHOP))));
		assertThat(RelayFixture.ofType(ask("r2", "p"), RelayEffect.SendRequest.class)).hasSize(1);
		assertThat(requested()).hasSize(1);
	}

	private List<RelayEffect> ask(String id, String program) {
		return this.relay.sendRequest(new RequestHead(id, "host", "/look/x", Optional.of(Duration.ofSeconds(3)),
				Optional.empty(), List.of(), 0, OptionalLong.empty(), Optional.empty(),
				new RequestHead.Origin(Optional.of(program), Optional.of(KeyDigest.of("key")))), "body");
	}

	private List<PermitRequest> requested() {
		return RelayFixture.ofType(this.relay.all, RelayEffect.RequestPermits.class)
			.stream()
			.map(RelayEffect.RequestPermits::request)
			.toList();
	}

	private List<RelayEffect> grant(PermitRequest request, int permits, Boolean... admitted) {
		String peer = RelayFixture.ofType(this.relay.all, RelayEffect.RequestPermits.class).getFirst().peer();
		return this.relay.handle(new RelayEvent.PermitsGranted(this.relay.now(), peer,
				new PermitReply("red", request.requestId(), permits, List.of(admitted), LATER)));
	}

}
