package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaRulesTests {

	private static final Duration RETRY_AFTER = Duration.ofMillis(700);

	private RelayFixture relay = configured(RelayFixture.ready());

	private static RelayFixture configured(RelayFixture relay) {
		RouteTable plain = RelayFixture.table();
		Team red = new Team("red", OptionalInt.empty(), Optional.of(new Quota(10, 10)));
		relay.handle(new RelayEvent.RouteTableUpdated(relay.now(), new RouteTable(2, plain.routes(), plain.services(),
				plain.limits(), Optional.of(new Teams(Map.of(KeyDigest.of("key"), red))))));
		relay.handle(new RelayEvent.ListenerStarted(relay.now(), "self"));
		relay.handle(
				new RelayEvent.MembershipUpdated(relay.now(), List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		relay.all.clear();
		return relay;
	}

	// Guards against assigning the admission of one program to another if two requests
	// of a program wait.
	@Test
	void eachNewProgramIsAdmittedSeparately() {
		sendRequest("r1", "p");
		PermitRequest first = permitRequests().getFirst();
		sendRequest("r2", "q");
		sendRequest("r3", "q");
		sendRequest("r4", "s");
		grant(first, 0, true);
		PermitRequest second = permitRequests().getLast();
		assertThat(second.newPrograms()).hasSize(3);
		List<RelayEffect> granted = grant(second, 0, true, true, false);
		assertThat(RelayFixture.ofType(granted, RelayEffect.SendRequest.class)).hasSize(2);
		assertThat(RelayFixture.ofType(granted, RelayEffect.Refuse.class)).singleElement()
			.isEqualTo(new RelayEffect.Refuse(this.relay.exchange(), Refusal.QUOTA_SPENT, Optional.of(RETRY_AFTER)));
	}

	// Guards against requests that wait for a failed coordinator until their callers
	// disconnect.
	@Test
	void nextCoordinatorIsAskedIfTheFirstDoesNotReply() {
		sendRequest("r1", "p");
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

	// Guards against charging a team for a request that was not sent.
	@Test
	void permitOfARequestThatWasNotSentIsReused() {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of()));
		sendRequest("r1", "p");
		grant(permitRequests().getFirst(), 0, true);
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(),
				List.of(RelayFixture.upstream("s1", RelayFixture.SHOP))));
		assertThat(RelayFixture.ofType(sendRequest("r2", "p"), RelayEffect.SendRequest.class)).hasSize(1);
		assertThat(permitRequests()).hasSize(1);
	}

	// Guards against refunds to a bucket that has been full since the grant.
	@Test
	void permitThatExpiredLongAgoIsNotRefunded() {
		sendRequest("r1", "p");
		grant(permitRequests().getFirst(), 1, true);
		this.relay.advance(1200);
		sendRequest("r2", "p");
		assertThat(permitRequests().getLast().expired()).isOne();
		grant(permitRequests().getLast(), 2);
		this.relay.advance(1300);
		sendRequest("r3", "p");
		assertThat(permitRequests().getLast().expired()).isZero();
	}

	// Guards against two relays that know different members and cover each other's grants
	// without end.
	@Test
	void standInCoversItsGrantsButNotThoseOfOtherStandIns() {
		followFirstCoordinator();
		Quota quota = new Quota(10, 10);
		PermitRequest request = new PermitRequest("red", 1, quota, 1, 0, 0, List.of(7), List.of());
		assertThat(covers("other", request)).singleElement().extracting(PermitRequest::required).isEqualTo(1);
		assertThat(covers("other", PermitRequest.cover("red", 2, quota, 1))).isEmpty();
	}

	// Guards against two relays that both grant the full rate because a probe was not
	// answered long ago.
	@Test
	void probeThatWasNotAnsweredLongAgoIsNoFailure() {
		followFirstCoordinator();
		grantInPlaceOfTheFirst();
		this.relay.advance(10_000);
		grantInPlaceOfTheFirst();
		this.relay.advance(300);
		assertThat(grantInPlaceOfTheFirst()).isZero();
		this.relay.advance(100);
		assertThat(grantInPlaceOfTheFirst()).isPositive();
	}

	// Guards against the same after a connection was lost that has been open again since.
	@Test
	void connectionThatIsOpenAgainIsNoFailure() {
		String first = followFirstCoordinator();
		this.relay.handle(new RelayEvent.PeerDisconnected(this.relay.now(), first));
		this.relay.handle(new RelayEvent.PeerConnected(this.relay.now(), first));
		grantInPlaceOfTheFirst();
		this.relay.advance(300);
		assertThat(grantInPlaceOfTheFirst()).isZero();
	}

	// Guards against the same because a connection was closed when it had been idle.
	@Test
	void connectionThatEndedLongAgoIsNoFailure() {
		String first = followFirstCoordinator();
		this.relay.handle(new RelayEvent.PeerDisconnected(this.relay.now(), first));
		this.relay.advance(10_000);
		grantInPlaceOfTheFirst();
		this.relay.advance(300);
		assertThat(grantInPlaceOfTheFirst()).isZero();
	}

	private String followFirstCoordinator() {
		String first = Stream.of("a", "b", "c", "d", "e", "f")
			.filter(this::precedesThisRelay)
			.findFirst()
			.orElseThrow();
		this.relay
			.handle(new RelayEvent.MembershipUpdated(this.relay.now(), List.of(Member.of("self"), Member.of(first))));
		return first;
	}

	private int grantInPlaceOfTheFirst() {
		PermitRequest request = new PermitRequest("red", 1, new Quota(10, 10), 9, 0, 0, List.of(7), List.of());
		List<RelayEffect> effects = this.relay
			.handle(new RelayEvent.PermitsRequested(this.relay.now(), "other", request));
		return RelayFixture.ofType(effects, RelayEffect.GrantPermits.class).getFirst().reply().total();
	}

	private boolean precedesThisRelay(String other) {
		ProgramReplicas replicas = new ProgramReplicas();
		replicas.update(List.of(Member.of("self"), Member.of(other)));
		return replicas.replicasOf("red").getFirst().equals(other);
	}

	private List<PermitRequest> covers(String peer, PermitRequest request) {
		List<RelayEffect> effects = this.relay.handle(new RelayEvent.PermitsRequested(this.relay.now(), peer, request));
		return RelayFixture.ofType(effects, RelayEffect.RequestPermits.class)
			.stream()
			.map(RelayEffect.RequestPermits::request)
			.filter((sent) -> !sent.isProbe())
			.toList();
	}

	// Guards against a permit that is used in a later window than it was granted in,
	// because its reply came late.
	@Test
	void permitOfALateReplyIsNotUsed() {
		sendRequest("r1", "p");
		PermitRequest request = permitRequests().getFirst();
		this.relay.handle(new RelayEvent.CallerDisconnected(this.relay.now(), this.relay.exchange()));
		this.relay.advance(1500);
		grant(request, 2, true);
		assertThat(RelayFixture.ofType(sendRequest("r2", "p"), RelayEffect.SendRequest.class)).isEmpty();
	}

	// Guards against permits of a reply to an earlier incarnation of this relay.
	@Test
	void replyToAnEarlierIncarnationIsNotUsed() {
		sendRequest("r1", "p");
		PermitRequest earlier = permitRequests().getFirst();
		this.relay = configured(RelayFixture.ready(2));
		sendRequest("r2", "p");
		PermitRequest current = permitRequests().getFirst();
		assertThat(RelayFixture.ofType(grant(earlier, 2, true), RelayEffect.SendRequest.class)).isEmpty();
		assertThat(RelayFixture.ofType(grant(current, 0, true), RelayEffect.SendRequest.class)).hasSize(1);
	}

	// Guards against permits of a relay that was not asked for them.
	@Test
	void replyOfAnotherRelayIsNotUsed() {
		sendRequest("r1", "p");
		PermitRequest first = permitRequests().getFirst();
		assertThat(RelayFixture.ofType(grantBy("other", first, 2, true), RelayEffect.SendRequest.class)).isEmpty();
		this.relay.advance(60);
		this.relay.fireTimer(TimerKind.PERMIT);
		assertThat(RelayFixture.ofType(grantBy("other", first, 2, true), RelayEffect.SendRequest.class)).isEmpty();
		assertThat(RelayFixture.ofType(grant(first, 0, true), RelayEffect.SendRequest.class)).hasSize(1);
	}

	private List<RelayEffect> sendRequest(String id, String program) {
		return this.relay.sendRequest(new RequestHead(id, "host", "/look/x", Optional.of(Duration.ofSeconds(3)),
				Optional.empty(), List.of(), 0, Optional.empty(), Optional.empty(),
				new RequestHead.Origin(Optional.of(program), Optional.of(KeyDigest.of("key")))), "body");
	}

	private List<PermitRequest> permitRequests() {
		return RelayFixture.ofType(this.relay.all, RelayEffect.RequestPermits.class)
			.stream()
			.map(RelayEffect.RequestPermits::request)
			.toList();
	}

	private List<RelayEffect> grant(PermitRequest request, int permits, Boolean... admitted) {
		String peer = RelayFixture.ofType(this.relay.all, RelayEffect.RequestPermits.class).getFirst().peer();
		return grantBy(peer, request, permits, admitted);
	}

	private List<RelayEffect> grantBy(String peer, PermitRequest request, int permits, Boolean... admitted) {
		return this.relay.handle(new RelayEvent.PermitsGranted(this.relay.now(), peer,
				new PermitReply("red", request.requestId(), permits, List.of(admitted), RETRY_AFTER)));
	}

}
