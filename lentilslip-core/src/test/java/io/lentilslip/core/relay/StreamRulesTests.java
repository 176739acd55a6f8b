package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of streams while upstreams of several software versions serve.
 */
class StreamRulesTests {

	private static final int RETENTION_MS = 12_000;

	private static final int STREAMS = 30;

	private final RelayFixture relay = RelayFixture.ready();

	// Guards against a stream that a relay resumes at another version.
	@Test
	void interruptedStreamContinuesAtItsVersion() {
		list(engine("a", "v1"), engine("b", "v2"), engine("c", "v1"), engine("d", "v2"));
		for (int i = 0; i < STREAMS; i++) {
			Upstream first = sent(this.relay.sendTurn("t" + i, "draft", turn("p" + i)));
			this.relay.open(1);
			this.relay.event(1, 1);
			Upstream second = sent(this.relay.fail(1, FailureCause.BROKEN));
			assertThat(second.version()).isEqualTo(first.version());
			assertThat(second).isNotEqualTo(first);
		}
	}

	// Guards against a response that looks complete though no upstream of the version is
	// left to complete it.
	@Test
	void interruptedStreamIsAbortedWithoutAnotherUpstreamOfItsVersion() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		this.relay.open(1);
		this.relay.event(1, 1);
		list(engine("a", "v1"), engine("b", "v2"));
		List<RelayEffect> effects = this.relay.fail(1, FailureCause.BROKEN);
		assertThat(RelayFixture.ofType(effects, RelayEffect.AbortConnection.class)).hasSize(1);
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).isEmpty();
	}

	// Guards against an idle upstream that is replaced by one of another version in the
	// middle of a stream.
	@Test
	void idleUpstreamIsReplacedByOneOfItsVersion() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		this.relay.written(1);
		this.relay.open(1);
		this.relay.event(1, 1);
		list(engine("a", "v1"), engine("b", "v2"), engine("c", "v1"));
		this.relay.advance(3_000);
		this.relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		this.relay.advance(3_000);
		this.relay.fireTimer(TimerKind.UPSTREAM_IDLE);
		assertThat(sent(this.relay.all).id()).isEqualTo("c");
	}

	// Guards against the version of an attempt that brought no event.
	@Test
	void firstEventDecidesAndNotTheFirstAttempt() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		list(engine("a", "v1"), engine("b", "v2"));
		assertThat(sent(this.relay.fail(1, FailureCause.BROKEN)).id()).isEqualTo("b");
		this.relay.open(2);
		this.relay.event(2, 1);
		this.relay.fail(2, FailureCause.BROKEN);
		list(engine("c", "v1"), engine("d", "v2"));
		assertThat(versionsOfResumed("t1")).containsExactly("v2");
	}

	// A relay that has not read the second attempt from the log yet knows the version of
	// the first one.
	@Test
	void retryWithoutAnEventPrefersTheVersionOfTheLastAttempt() {
		list(engine("a", "v1"), engine("b", "v2"), engine("c", "v1"), engine("d", "v2"));
		for (int i = 0; i < STREAMS; i++) {
			Upstream first = sent(this.relay.sendTurn("t" + i, "draft", turn("p" + i)));
			assertThat(sent(this.relay.fail(1, FailureCause.NOT_CONNECTED)).version()).isEqualTo(first.version());
		}
	}

	@Test
	void callerResumesAtTheSameRelay() {
		start("t1", "v1");
		assertThat(versionsOfResumed("t1")).containsExactly("v1");
	}

	// The third attempt names the first one, which the second resumed.
	@Test
	void thirdAttemptContinuesAtTheVersionOfTheFirst() {
		start("t1", "v1");
		this.relay.sendRequest(RelayFixture.resuming("t2", "t1", 1), "body");
		this.relay.open(1);
		this.relay.event(1, 2);
		this.relay.fail(1, FailureCause.BROKEN);
		assertThat(versionsOfResumed("t1")).containsExactly("v1");
	}

	// Guards against a lookup by the upstream, which may have left the list.
	@Test
	void versionIsKnownFromTheLogAfterItsUpstreamAndRelayAreGone() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.readFromLog(reserved("t1", "gone", "v2", 1));
		assertThat(versionsOfResumed("t1")).containsExactly("v2");
	}

	// Two versions came and went: v1, v2, and v1 again.
	@Test
	void lastAttemptCountsInWhicheverOrderEntriesArrive() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.readFromLog(reserved("t1", "b", "v2", 2), reserved("t1", "a", "v1", 1));
		assertThat(versionsOfResumed("t1")).containsExactly("v2");
		this.relay.readFromLog(reserved("t2", "a", "v1", 1), reserved("t2", "b", "v1", 2));
		assertThat(versionsOfResumed("t2")).containsExactly("v1");
	}

	// The log is away, so only the relay that started the stream knows its version.
	@Test
	void otherRelaysAreAskedForAnUnknownVersion() {
		list(engine("c", "v1"), engine("d", "v2"));
		connectPeers();
		List<RelayEffect> effects = resume("u1", "t1");
		assertThat(RelayFixture.ofType(effects, RelayEffect.RequestStreamVersion.class)).singleElement()
			.isEqualTo(new RelayEffect.RequestStreamVersion(List.of("relay-2"), "t1"));
		assertThat(RelayFixture.ofType(effects, RelayEffect.SendRequest.class)).isEmpty();
		List<RelayEffect> received = this.relay
			.handle(new RelayEvent.StreamVersionReceived(this.relay.now(), RunId.unnumbered("t1"), attempt("v2", 1)));
		assertThat(sent(received).version()).isEqualTo("v2");
	}

	@Test
	void waitingRequestContinuesWhenTheLogHasTheVersion() {
		list(engine("c", "v1"), engine("d", "v2"));
		connectPeers();
		resume("u1", "t1");
		this.relay.readFromLog(reserved("t1", "c", "v1", 1));
		assertThat(sent(this.relay.logEndRead()).version()).isEqualTo("v1");
	}

	@Test
	void versionIsSentToAnotherRelayOnRequest() {
		start("t1", "v1");
		List<RelayEffect> effects = this.relay
			.handle(new RelayEvent.StreamVersionRequested(this.relay.now(), "relay-2", "t1"));
		assertThat(effects)
			.containsExactly(new RelayEffect.SendStreamVersion("relay-2", this.relay.run("t1"), attempt("v1", 1)));
		assertThat(this.relay.handle(new RelayEvent.StreamVersionRequested(this.relay.now(), "relay-2", "t9")))
			.isEmpty();
	}

	// Guards against a choice without knowledge, and against a wait until the deadline.
	@Test
	void unknownVersionIsRefusedOnceOtherRelaysDoNotAnswer() {
		list(engine("c", "v1"), engine("d", "v2"));
		connectPeers();
		resume("u1", "t1");
		RelayEffect.Refuse refusal = refusal(this.relay.fireTimer(TimerKind.STREAM_VERSION));
		assertThat(refusal.refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		assertThat(refusal.retryAfter()).isPresent();
	}

	@Test
	void unknownVersionIsTheOnlyOneThatTheServiceHasHad() {
		list(engine("c", "v1"));
		this.relay.advance(RETENTION_MS + 1);
		assertThat(sent(resume("u1", "t1")).id()).isEqualTo("c");
	}

	// The other version has served since the stream may have started.
	@Test
	void versionThatHasJustLeftIsNotForgotten() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.advance(RETENTION_MS);
		list(engine("c", "v1"));
		this.relay.advance(RETENTION_MS);
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		this.relay.advance(1);
		assertThat(sent(resume("u2", "t1")).id()).isEqualTo("c");
	}

	// Guards against a starting relay that refuses streams until it has known the list
	// for
	// as long as streams can be resumed.
	@Test
	void startingRelayKnowsFromTheLogWhichVersionsHaveServed() {
		list(engine("c", "v1"));
		this.relay.readFromLog(reserved("t8", "c", "v1", 1));
		assertThat(sent(resume("u1", null)).id()).isEqualTo("c");
		this.relay.readFromLog(reserved("t9", "gone", "v2", 1));
		assertThat(refusal(resume("u2", null)).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	// A relay that does not reach the log may not know that a release has begun.
	@Test
	void unknownVersionIsRefusedWithoutACurrentListOfUpstreams() {
		list(engine("c", "v1"));
		this.relay.advance(RETENTION_MS + 1);
		this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(), Connectivity.RELAYS));
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	@Test
	void versionThatIsGoneIsRefusedAtOnce() {
		start("t1", "v1");
		list(engine("d", "v2"));
		RelayEffect.Refuse refusal = refusal(resume("u1", "t1"));
		assertThat(refusal.refusal()).isEqualTo(Refusal.VERSION_GONE);
		assertThat(refusal.retryAfter()).isEmpty();
	}

	@Test
	void versionThatComesBackIsUsedAgain() {
		start("t1", "v1");
		list(engine("d", "v2"));
		list(engine("d", "v2"), engine("e", "v1"));
		assertThat(versionsOfResumed("t1")).containsExactly("v1");
	}

	// An upstream accepts requests for a while after it has begun to drain.
	@Test
	void drainingUpstreamOfTheVersionIsUsedForAShortTime() {
		start("t1", "v1");
		list(engine("c", "v1"), engine("d", "v2"));
		list(RelayFixture.engine("c", "v1", true), engine("d", "v2"));
		this.relay.advance(900);
		assertThat(sent(resume("u1", "t1")).id()).isEqualTo("c");
		this.relay.advance(200);
		assertThat(refusal(resume("u2", "t1")).refusal()).isEqualTo(Refusal.VERSION_GONE);
	}

	// Guards against a starting relay that uses an upstream which has drained for long.
	@Test
	void upstreamThatIsFirstSeenWhileItDrainsIsNotUsed() {
		start("t1", "v1");
		list(RelayFixture.engine("c", "v1", true), engine("d", "v2"));
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_GONE);
	}

	@Test
	void drainingUpstreamIsTheLastChoice() {
		start("t1", "v1");
		list(engine("c", "v1"), engine("d", "v2"), engine("e", "v1"));
		list(RelayFixture.engine("c", "v1", true), engine("d", "v2"), engine("e", "v1"));
		for (int i = 0; i < STREAMS; i++) {
			assertThat(sent(resume("u" + i, "t1")).id()).isEqualTo("e");
		}
	}

	// Guards against a service to which the route no longer leads.
	@Test
	void streamOfAServiceThatTheRouteHasLeftIsRefused() {
		this.relay.readFromLog(new LedgerEntry.Reserved(RunId.unnumbered("t1"), "p", 100, "s1", List.of(), false,
				Optional.of(new StreamAttempt(new SoftwareVersion(RelayFixture.SHOP, "v1"), 1))));
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_GONE);
	}

	@Test
	void unnamedOriginIsUnknown() {
		list(engine("c", "v1"), engine("d", "v2"));
		assertThat(refusal(resume("u1", null)).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	// The caller has no event yet, so any version may start the stream again.
	@Test
	void streamWithoutAnEventStartsAnywhere() {
		list(engine("c", "v1"), engine("d", "v2"));
		assertThat(RelayFixture.ofType(this.relay.sendRequest(RelayFixture.resuming("u1", "t1", 0), "body"),
				RelayEffect.SendRequest.class))
			.hasSize(1);
	}

	@Test
	void expiredVersionsAreForgotten() {
		StreamVersions versions = new StreamVersions();
		Duration retention = Duration.ofMillis(RETENTION_MS);
		versions.record(RunId.unnumbered("t1"), attempt("v1", 1), 0, retention);
		versions.record(RunId.unnumbered("t2"), attempt("v1", 1), RETENTION_MS, retention);
		assertThat(versions.find("t1")).isPresent();
		versions.record(RunId.unnumbered("t3"), attempt("v1", 1), RETENTION_MS + 1, retention);
		assertThat(versions.find("t1")).isEmpty();
		assertThat(versions.size()).isEqualTo(2);
	}

	@Test
	void numberOfStreamsIsMeasured() {
		this.relay.readFromLog(reserved("t1", "a", "v1", 1));
		assertThat(this.relay.collectionSizes())
			.contains(new Measurement.CollectionSize(CollectionName.STREAM_VERSIONS, 1, 50_000));
	}

	@Test
	void numberOfVersionsIsBounded() {
		StreamVersions versions = new StreamVersions();
		for (int i = 0; i < 60_000; i++) {
			versions.record(RunId.unnumbered("t" + i), attempt("v1", 1), 0, Duration.ofMillis(RETENTION_MS));
		}
		assertThat(versions.size()).isEqualTo(50_000);
		assertThat(versions.find("t59999")).isPresent();
	}

	// Guards against joining two versions after a full restart: the upstreams of the
	// version that began the stream have left meanwhile, and the log does not have it.
	@Test
	void restartedRelayDoesNotTakeTheListedVersionForTheOnlyOne() {
		RelayFixture restarted = restarted("v2");
		RelayEffect.Refuse refusal = refusal(resume(restarted, "u1", "t1"));
		assertThat(refusal.refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		assertThat(refusal.retryAfter()).isPresent();
		assertThat(refusal(resume(restarted, "u2", null)).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	@Test
	void restartedRelayKnowsOtherVersionsFromStreamsInTheLog() {
		RelayFixture restarted = restarted("v2");
		restarted.readFromLog(Duration.ofSeconds(4), reserved("t8", "gone", "v1", 1));
		assertThat(refusal(resume(restarted, "u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	@Test
	void restartedRelayContinuesStreamsOfTheOnlyVersionInTheLog() {
		RelayFixture restarted = restarted("v2");
		restarted.readFromLog(Duration.ofSeconds(4), reserved("t8", "gone", "v2", 1));
		assertThat(sent(resume(restarted, "u1", "t1")).version()).isEqualTo("v2");
	}

	// Guards against evidence that is younger than the stream.
	@Test
	void streamsThatBeganAfterARestartDoNotShowEarlierVersions() {
		RelayFixture restarted = restarted("v2");
		restarted.readFromLog(Duration.ZERO, reserved("t8", "a", "v2", 1));
		assertThat(refusal(resume(restarted, "u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
	}

	@Test
	void restartedRelayKnowsTheOnlyVersionOnceAllEarlierStreamsHaveEnded() {
		RelayFixture restarted = restarted("v2");
		restarted.advance(RETENTION_MS + 1);
		assertThat(sent(resume(restarted, "u1", "t1")).version()).isEqualTo("v2");
	}

	// Guards against a final refusal by a relay that has read the log but not yet the
	// list
	// of upstreams.
	@Test
	void versionIsNotGoneBeforeTheUpstreamsAreKnown() {
		RelayFixture starting = RelayFixture.unconfigured();
		starting.handle(new RelayEvent.RouteTableUpdated(starting.now(), RelayFixture.table()));
		starting.handle(RelayFixture.caughtUp(starting.now()));
		starting.handle(RelayFixture.textOffsetKnown(starting.now()));
		starting.readFromLog(reserved("t1", "a", "v1", 1));
		RelayEffect.Refuse refusal = refusal(resume(starting, "u1", "t1"));
		assertThat(refusal.refusal()).isNotEqualTo(Refusal.VERSION_GONE);
		assertThat(refusal.retryAfter()).isPresent();
	}

	// Guards against a loss of all relays that leaves the log with an earlier attempt of
	// another version, which brought no event.
	@Test
	void eventsOfARetryAtAnotherVersionWaitForItsRecord() {
		startRetryAtAnotherVersion();
		this.relay.open(2);
		assertThat(forwarded(this.relay.event(2, 1))).isZero();
		assertThat(forwarded(this.relay.streamStored("t1", 1))).isZero();
		assertThat(forwarded(this.relay.streamStored("t1", 2))).isEqualTo(1);
		assertThat(forwarded(this.relay.event(2, 2))).isEqualTo(1);
	}

	@Test
	void endOfARetryAtAnotherVersionFollowsItsEvents() {
		startRetryAtAnotherVersion();
		this.relay.open(2);
		this.relay.event(2, 1);
		assertThat(RelayFixture.ofType(this.relay.end(2), RelayEffect.EndStream.class)).isEmpty();
		List<RelayEffect> released = this.relay.streamStored("t1", 2);
		assertThat(forwarded(released)).isEqualTo(1);
		assertThat(RelayFixture.ofType(released, RelayEffect.EndStream.class)).hasSize(1);
	}

	@Test
	void eventsOfARetryAtTheSameVersionDoNotWait() {
		list(engine("a", "v1"), engine("b", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		this.relay.fail(1, FailureCause.BROKEN);
		this.relay.open(2);
		assertThat(forwarded(this.relay.event(2, 1))).isEqualTo(1);
	}

	// Without the log the record of the retry could not outlive a loss of all relays.
	@Test
	void retryDoesNotChangeTheVersionWithoutTheLog() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		list(engine("a", "v1"), engine("b", "v2"));
		this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(), Connectivity.RELAYS));
		assertThat(RelayFixture.ofType(this.relay.fail(1, FailureCause.BROKEN), RelayEffect.SendRequest.class))
			.isEmpty();
	}

	private void startRetryAtAnotherVersion() {
		list(engine("a", "v1"));
		this.relay.sendTurn("t1", "draft", turn("p"));
		list(engine("a", "v1"), engine("b", "v2"));
		assertThat(sent(this.relay.fail(1, FailureCause.BROKEN)).version()).isEqualTo("v2");
	}

	private static int forwarded(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.ForwardStreamEvent.class).size();
	}

	private static RelayFixture restarted(String version) {
		RelayFixture restarted = RelayFixture.unconfiguredAfterRestart();
		restarted.handle(new RelayEvent.RouteTableUpdated(restarted.now(), RelayFixture.table()));
		restarted.handle(RelayFixture.textOffsetKnown(restarted.now()));
		restarted.handle(
				new RelayEvent.UpstreamsReplaced(restarted.now(), List.of(engine("a", version), engine("b", version))));
		restarted.handle(RelayFixture.caughtUp(restarted.now()));
		restarted.advance(500);
		return restarted;
	}

	// Guards against forgetting a version because later streams have shorter timeouts.
	@Test
	void shorterTimeoutsDoNotShortenEarlierStreams() {
		list(engine("c", "v1"));
		this.relay.advance(RETENTION_MS);
		list(engine("d", "v2"));
		configure(2, RelayFixture.ENGINE, Duration.ofSeconds(1));
		this.relay.advance(RETENTION_MS);
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		this.relay.advance(1);
		assertThat(sent(resume("u2", "t1")).version()).isEqualTo("v2");
	}

	// Guards against a stream of the service to which its route led before.
	@Test
	void onlyVersionOfAServiceDoesNotCountForEarlierStreamsOfItsRoute() {
		list(engine("c", "v1"),
				new Upstream("m1", "other", "10.0.0.1", 80, "zone-a", 6, false, OptionalLong.empty(), "v1"));
		this.relay.advance(RETENTION_MS);
		configure(2, "other", Duration.ofSeconds(4));
		this.relay.advance(RETENTION_MS);
		assertThat(refusal(resume("u1", "t1")).refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		configure(3, "other", Duration.ofSeconds(4));
		this.relay.advance(1);
		assertThat(sent(resume("u2", "t1")).service()).isEqualTo("other");
	}

	private void configure(long version, String service, Duration timeout) {
		RouteTable plain = RelayFixture.table();
		Route draft = new Route("draft", "host", "/draft/", Repeatability.STREAM, timeout, Duration.ofMillis(200), 2, 0,
				true, false, Duration.ofSeconds(60), false, false, List.of(new Route.WeightedService(service, 1)));
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(),
				new RouteTable(version, List.of(draft), plain.services(), plain.limits(), Optional.empty())));
	}

	private static List<RelayEffect> resume(RelayFixture relay, String id, String origin) {
		return relay.confirmed(relay.sendRequest(RelayFixture.resuming(id, origin, 1), "body"));
	}

	private void start(String id, String version) {
		list(engine("a", version));
		this.relay.sendTurn(id, "draft", turn("p"));
		this.relay.open(1);
		this.relay.event(1, 1);
		this.relay.fail(1, FailureCause.BROKEN);
		list(engine("a", version), engine("b", version), engine("d", "v2"));
	}

	private Set<String> versionsOfResumed(String origin) {
		Set<String> versions = new TreeSet<>();
		for (int i = 0; i < STREAMS; i++) {
			versions.add(sent(resume(origin + "-" + i, origin)).version());
		}
		return versions;
	}

	private List<RelayEffect> resume(String id, String origin) {
		return resume(this.relay, id, origin);
	}

	private void connectPeers() {
		this.relay.handle(new RelayEvent.PeerConnected(this.relay.now(), "relay-2"));
	}

	private void list(Upstream... upstreams) {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of(upstreams)));
	}

	private static Upstream engine(String id, String version) {
		return RelayFixture.engine(id, version, false);
	}

	private static RequestHead.Turn turn(String program) {
		return RelayFixture.turn(program, 10_000, 100, null);
	}

	private static LedgerEntry reserved(String request, String upstream, String version, int number) {
		return new LedgerEntry.Reserved(RunId.unnumbered(request), "p", 100, upstream, List.of(), false,
				Optional.of(attempt(version, number)));
	}

	private static StreamAttempt attempt(String version, int number) {
		return new StreamAttempt(new SoftwareVersion(RelayFixture.ENGINE, version), number);
	}

	private static Upstream sent(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class).getLast().upstream();
	}

	private static RelayEffect.Refuse refusal(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst();
	}

}
