package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionRulesTests {

	private final RelayFixture relay = RelayFixture.ready();

	private int usages;

	@Test
	void programIsRefusedAtOnceAtItsFirstTurnWithoutRoom() {
		reportLoad(9);
		List<RelayEffect> effects = firstTurn("p");
		assertThat(RelayFixture.ofType(effects, RelayEffect.Refuse.class)).singleElement().satisfies((refuse) -> {
			assertThat(refuse.refusal()).isEqualTo(Refusal.OVERLOADED);
			assertThat(refuse.retryAfter()).isPresent();
		});
		assertThat(RelayFixture.ofType(effects, RelayEffect.WriteNotice.class))
			.extracting((effect) -> effect.notice().code())
			.contains(NoticeCode.PROGRAM_REFUSED);
		assertThat(RelayFixture.written(effects)).isEmpty();
	}

	// Guards against asking the caller of a poison request to send it again.
	@Test
	void poisonRequestIsRefusedAsSuchWithoutRoom() {
		for (String incarnation : List.of("e7", "e8", "e9")) {
			this.relay.readFromPeer(new LedgerEntry.UpstreamFailed("t0", RelayFixture.digest("/draft/x"), incarnation));
		}
		reportLoad(9);
		assertThat(RelayFixture.ofType(firstTurn("p"), RelayEffect.Refuse.class)).singleElement()
			.satisfies((refuse) -> assertThat(refuse.refusal()).isEqualTo(Refusal.BLAMED));
	}

	@Test
	void programIsAdmittedWithoutRoomIfAdmissionIsOff() {
		RelayFixture off = RelayFixture.withoutAdmission();
		for (String engine : List.of("e1", "e2")) {
			off.handle(new RelayEvent.LoadsReceived(off.now(), List.of(new UpstreamLoad(engine.hashCode(), 60, 0))));
		}
		assertThat(sends(off.sendTurn("t1", "draft", RelayFixture.turn("p", 1000, 100, null)))).hasSize(1);
	}

	@Test
	void programIsAdmittedWhileUpstreamsAreFullButNothingWaits() {
		reportLoad(6);
		assertThat(sends(firstTurn("p"))).hasSize(1);
	}

	// Guards against wasting the work done on a program.
	@Test
	void laterTurnOfAProgramIsNotRefusedForLoad() {
		firstTurn("p");
		reportLoad(20);
		assertThat(sends(firstTurn("p"))).hasSize(1);
		this.relay.sendTurn("t3", "draft", RelayFixture.turn("other", 1000, 100, "t2"));
		assertThat(RelayFixture.ofType(this.relay.all, RelayEffect.Refuse.class)).isEmpty();
	}

	// Guards against cutting a program whose next turn comes through another relay.
	@Test
	void programThatBeganAtAnotherRelayIsKnownFromTheLog() {
		this.relay.readFromLog(new LedgerEntry.Reserved(RunId.unnumbered("t0"), "p", 100, "e1", List.of(), false));
		reportLoad(20);
		assertThat(sends(firstTurn("p"))).hasSize(1);
	}

	// Guards against cutting a program during an outage of the log, in which turns at
	// other relays are not known here.
	@Test
	void replicasDecideWithoutTheLogWhetherAProgramHasBegun() {
		withoutLog();
		reportLoad(20);
		assertThat(sends(firstTurn("p"))).isEmpty();
		assertThat(sends(usage("t1", 300))).isEmpty();
		assertThat(sends(usage("t1", 100))).hasSize(1);
	}

	@Test
	void newProgramIsRefusedWithoutTheLogOnceReplicasHaveReplied() {
		withoutLog();
		reportLoad(20);
		firstTurn("p");
		usage("t1", 100);
		List<RelayEffect> effects = usage("t1", 100);
		assertThat(sends(effects)).isEmpty();
		assertThat(RelayFixture.ofType(this.relay.all, RelayEffect.Refuse.class)).singleElement()
			.extracting(RelayEffect.Refuse::refusal)
			.isEqualTo(Refusal.OVERLOADED);
		assertThat(RelayFixture.settled(this.relay.all).tokens()).isZero();
	}

	// Guards against refusing callers by reports from before a pause of the process.
	@Test
	void programIsAdmittedOnceReportsHaveExpired() {
		reportLoad(20);
		this.relay.advance(1_000);
		assertThat(sends(firstTurn("p"))).hasSize(1);
	}

	@Test
	void loadOfAServiceIsKeptOverAChangeOfRoutes() {
		reportLoad(9);
		firstTurn("p");
		RouteTable plain = RelayFixture.table();
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(),
				new RouteTable(2, plain.routes(), plain.services(), plain.limits(), Optional.empty())));
		assertThat(RelayFixture.ofType(firstTurn("p"), RelayEffect.Refuse.class)).hasSize(1);
	}

	// Guards against a relay that takes programs while its callers wait for its own event
	// loop, and against one that refuses programs for a short delay with room to spare.
	@Test
	void relayWithALateEventLoopRefusesPrograms() {
		this.relay.handle(new RelayEvent.EventLoopDelayed(this.relay.now(), Duration.ofMillis(90)));
		assertThat(sends(firstTurn("p"))).hasSize(1);
		this.relay.advance(100);
		this.relay.handle(new RelayEvent.EventLoopDelayed(this.relay.now(), Duration.ofMillis(900)));
		assertThat(sends(firstTurn("q"))).isEmpty();
		assertThat(sends(firstTurn("p"))).hasSize(1);
	}

	@Test
	void priorityOfTheTeamOverridesThatOfTheRoute() {
		RouteTable plain = RelayFixture.table();
		Map<KeyDigest, Team> teams = Map.of(KeyDigest.of("urgent"),
				new Team("urgent", OptionalInt.of(0), Optional.empty()), KeyDigest.of("patient"),
				new Team("patient", OptionalInt.of(3), Optional.empty()));
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(),
				new RouteTable(2, plain.routes(), plain.services(), plain.limits(), Optional.of(new Teams(teams)))));
		int urgent = 0;
		int patient = 0;
		for (int i = 0; i < 100; i++) {
			this.relay.advance(25);
			report(7);
			urgent += sends(teamTurn("u" + i, "urgent")).size();
			patient += sends(teamTurn("p" + i, "patient")).size();
		}
		assertThat(urgent).isGreaterThan(2 * patient);
		assertThat(patient).isPositive();
	}

	private List<RelayEffect> teamTurn(String id, String key) {
		RequestHead head = new RequestHead(id, "host", "/draft/x", Optional.empty(),
				Optional.of(RelayFixture.turn(id, 1000, 100, null)), List.of(), 0, Optional.empty(), Optional.empty(),
				new RequestHead.Origin(Optional.of(id), Optional.of(KeyDigest.of(key))));
		return this.relay.sendRequest(head, "body");
	}

	private void withoutLog() {
		this.relay.handle(new RelayEvent.ListenerStarted(this.relay.now(), "self"));
		this.relay.handle(new RelayEvent.MembershipUpdated(this.relay.now(),
				List.of(Member.of("a"), Member.of("b"), Member.of("c"))));
		this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(), Connectivity.RELAYS));
		this.relay.all.clear();
	}

	private List<RelayEffect> usage(String request, long tokens) {
		String peer = (this.usages++ == 0) ? "a" : "b";
		return this.relay.handle(new RelayEvent.UsageReceived(this.relay.now(), peer, this.relay.run(request), tokens,
				tokens, false, 2));
	}

	private List<RelayEffect> firstTurn(String program) {
		return this.relay.sendTurn("t1", "draft", RelayFixture.turn(program, 1000, 100, null));
	}

	private void reportLoad(int requests) {
		this.relay.advance(100);
		report(requests);
	}

	private void report(int requests) {
		this.relay.handle(new RelayEvent.LoadsReceived(this.relay.now(), List
			.of(new UpstreamLoad("e1".hashCode(), requests, 0), new UpstreamLoad("e2".hashCode(), requests, 0))));
	}

	private static List<RelayEffect.SendRequest> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class);
	}

}
