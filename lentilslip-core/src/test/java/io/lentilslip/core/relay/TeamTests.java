package io.lentilslip.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TeamTests {

	private final RelayFixture relay = RelayFixture.ready();

	TeamTests() {
		Map<KeyDigest, Team> teams = new HashMap<>();
		for (String name : List.of("red", "blue")) {
			teams.put(KeyDigest.of("key of " + name), new Team(name, OptionalInt.empty(), Optional.empty()));
		}
		RouteTable plain = RelayFixture.table();
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(),
				new RouteTable(2, plain.routes(), plain.services(), plain.limits(), Optional.of(new Teams(teams)))));
		this.relay.all.clear();
	}

	// Guards against serving a caller whose key was revoked.
	@Test
	void unknownKeyIsRejected() {
		assertThat(refusal(sendRequest("r1", "look", Optional.of("unknown key"), null))).isEqualTo(Refusal.KEY_UNKNOWN);
		assertThat(refusal(sendRequest("r2", "look", Optional.empty(), null))).isEqualTo(Refusal.KEY_UNKNOWN);
		assertThat(RelayFixture.ofType(this.relay.all, RelayEffect.SendRequest.class)).isEmpty();
	}

	@Test
	void upstreamReceivesTheTeam() {
		RelayEffect.SendRequest send = RelayFixture
			.ofType(sendRequest("r1", "look", Optional.of("key of red"), null), RelayEffect.SendRequest.class)
			.getFirst();
		assertThat(send.caller()).isInstanceOfSatisfying(CallerIdentity.OfTeam.class,
				(of) -> assertThat(of.team().name()).isEqualTo("red"));
	}

	// Guards against a team that continues the conversation of another team by its turn
	// id.
	@Test
	void turnOfAnotherTeamIsNotFound() {
		sendRequest("t1", "chat", Optional.of("key of red"), RelayFixture.turn("p", 1000, 100, null));
		this.relay.open(1);
		this.relay.event(1, 1);
		this.relay.end(1);
		this.relay.stored("red/t1");
		List<RelayEffect> other = sendRequest("t2", "chat", Optional.of("key of blue"),
				RelayFixture.turn("p", 1000, 100, "t1"));
		assertThat(RelayFixture.ofType(other, RelayEffect.SendRequest.class)).isEmpty();
		List<RelayEffect> own = sendRequest("t3", "chat", Optional.of("key of red"),
				RelayFixture.turn("p", 1000, 100, "t1"));
		assertThat(RelayFixture.ofType(own, RelayEffect.SendRequest.class)).hasSize(1);
	}

	// Guards against revealing which ids of another team exist.
	@Test
	void streamOfAnotherTeamIsUnknown() {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(),
				List.of(RelayFixture.engine("a", "v1", false), RelayFixture.engine("b", "v2", false))));
		sendRequest("t1", "draft", Optional.of("key of red"), RelayFixture.turn("p", 1000, 100, null));
		assertThat(refusal(resume("t2", "t1", "key of blue"))).isEqualTo(Refusal.VERSION_UNKNOWN);
		assertThat(refusal(resume("t3", "t9", "key of blue"))).isEqualTo(Refusal.VERSION_UNKNOWN);
		assertThat(RelayFixture.ofType(resume("t4", "t1", "key of red"), RelayEffect.SendRequest.class)).hasSize(1);
	}

	private List<RelayEffect> resume(String id, String origin, String key) {
		RequestHead head = RelayFixture.resuming(id, origin, 1);
		return this.relay
			.sendRequest(
					new RequestHead(id, head.host(), head.path(), head.callerTimeout(), head.turn(), List.of(), 0,
							head.resumption(), Optional.empty(), new RequestHead.Origin(
									head.turn().map(RequestHead.Turn::program), Optional.of(KeyDigest.of(key)))),
					"body");
	}

	// Guards against charging a budget of another team for a program of the same name.
	@Test
	void programsOfDifferentTeamsHaveSeparateBudgets() {
		for (String turn : List.of("t1", "t2", "t3")) {
			assertThat(countSent("key of red", turn)).isEqualTo(1);
		}
		assertThat(countSent("key of red", "t4")).isZero();
		assertThat(countSent("key of blue", "t4")).isEqualTo(1);
	}

	private int countSent(String key, String turn) {
		return RelayFixture
			.ofType(sendRequest(turn, "draft", Optional.of(key), RelayFixture.turn("p", 600, 100, null)),
					RelayEffect.SendRequest.class)
			.size();
	}

	@Test
	void scopedIdsOfDifferentTeamsDoNotCollide() {
		assertThat(new Team("a/b", OptionalInt.empty(), Optional.empty()).scopedId("c"))
			.isNotEqualTo(new Team("a", OptionalInt.empty(), Optional.empty()).scopedId("b/c"));
	}

	private List<RelayEffect> sendRequest(String id, String route, Optional<String> key, RequestHead.Turn turn) {
		RequestHead plain = RelayFixture.head(id, route, Optional.ofNullable(turn));
		return this.relay.sendRequest(
				new RequestHead(id, plain.host(), plain.path(), plain.callerTimeout(), plain.turn(), List.of(), 0,
						Optional.empty(), Optional.empty(),
						new RequestHead.Origin(plain.turn().map(RequestHead.Turn::program), key.map(KeyDigest::of))),
				"body");
	}

	private static Refusal refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst().refusal();
	}

}
