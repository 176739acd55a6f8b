package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of streams that callers resume at a relay whose list of upstreams, log or peers
 * are not up to date.
 */
class StreamsAtARelayOutOfStepTests {

	private static final int RETENTION_MS = 12_000;

	private static final int SEEDS = Integer.getInteger("lentilslip.outofstep.seeds", 200);

	private static final int STEPS = 60;

	private final RelayFixture relay = RelayFixture.ready();

	// Guards against a list that is older than the stream: the relay is cut off from the
	// store and does not know it yet.
	@Test
	void onlyListedVersionIsNotTakenWithoutACompleteList() {
		listOneVersion();
		assertThat(sends(resume("u1", "t1"))).isEmpty();
		assertRefusedAsUnknown(this.relay.fireTimer(TimerKind.UPSTREAM_CONFIRMATION));
	}

	@Test
	void onlyListedVersionIsNotTakenAfterPeersDoNotAnswer() {
		listOneVersion();
		this.relay.handle(new RelayEvent.PeerConnected(this.relay.now(), "relay-2"));
		resume("u1", "t1");
		assertThat(sends(this.relay.fireTimer(TimerKind.STREAM_VERSION))).isEmpty();
		assertRefusedAsUnknown(this.relay.fireTimer(TimerKind.UPSTREAM_CONFIRMATION));
	}

	// Guards against a relay that follows the list slowly.
	@Test
	void versionThatTheCompleteListAddsCounts() {
		listOneVersion();
		long confirmation = confirmation(resume("u1", null));
		this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(), engine("d", "v2")));
		assertRefusedAsUnknown(this.relay.confirm(confirmation));
	}

	// Guards against a stream that began at another service, to which its route led by
	// a table that the relay had not read.
	@Test
	void routeThatTheLatestTableMovesIsNotTakenAsItWas() {
		listOneVersion();
		long confirmation = confirmation(resume("u1", null));
		RouteTable table = RelayFixture.table();
		this.relay.handle(new RelayEvent.RouteTableUpdated(this.relay.now(),
				new RouteTable(2,
						List.of(RelayFixture.route("draft", Repeatability.STREAM, true, false, RelayFixture.SHOP)),
						table.services(), table.limits(), Optional.empty())));
		assertRefusedAsUnknown(this.relay.confirm(confirmation));
	}

	// Guards against a version that came and went while the relay was out of step.
	@Test
	void versionThatHasLeftAgainCounts() {
		listOneVersion();
		long confirmation = confirmation(resume("u1", null));
		this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(), engine("d", "v2")));
		this.relay.handle(new RelayEvent.UpstreamRemoved(this.relay.now(), "d"));
		assertRefusedAsUnknown(this.relay.confirm(confirmation));
	}

	// Guards against a version that came and went, if its records were deleted unread.
	@Test
	void versionsAreUnknownAfterChangesWereMissed() {
		this.relay.readFromLog(Duration.ofSeconds(4), reserved("t8", "v1", 1));
		listOneVersion();
		this.relay.handle(new RelayEvent.UpstreamChangesMissed(this.relay.now()));
		list(engine("c", "v1"));
		assertRefusedAsUnknown(this.relay.confirmed(resume("u1", "t1")));
		this.relay.advance(RETENTION_MS + 1);
		assertThat(sends(this.relay.confirmed(resume("u2", "t1")))).hasSize(1);
	}

	// Guards against a relay that has run for long but has just read its first list.
	@Test
	void timeBeforeTheFirstListDoesNotCount() {
		RelayFixture starting = RelayFixture.unconfiguredAfterRestart();
		starting.handle(new RelayEvent.RouteTableUpdated(starting.now(), RelayFixture.table()));
		starting.handle(RelayFixture.textOffsetKnown(starting.now()));
		starting.handle(RelayFixture.caughtUp(starting.now()));
		starting.advance(RETENTION_MS + 1);
		starting.handle(new RelayEvent.UpstreamsReplaced(starting.now(), List.of(engine("c", "v1"))));
		assertRefusedAsUnknown(starting.confirmed(starting.sendRequest(RelayFixture.resuming("u1", "t1", 1), "body")));
	}

	// Guards against a process that stood still and decides on what it knew before.
	@Test
	void wokenRelayReadsTheLogAndTheListFirst() {
		listOneVersion();
		this.relay.handle(new RelayEvent.ProcessResumed(this.relay.now(), Duration.ofSeconds(3)));
		assertRefusedAsUnknown(resume("u1", "t1"));
		this.relay.handle(RelayFixture.caughtUp(this.relay.now()));
		assertThat(sends(resume("u2", "t1"))).isEmpty();
	}

	// Guards against a list that was complete before the stream began.
	@Test
	void confirmationOfAnEarlierRequestDoesNotCount() {
		listOneVersion();
		long first = confirmation(resume("u1", "t1"));
		long second = confirmation(resume("u2", "t2"));
		assertThat(sends(this.relay.confirm(first))).hasSize(1);
		assertThat(sends(this.relay.confirm(second))).hasSize(1);
	}

	@Test
	void lateAnswerOfAPeerCountsWhileTheListIsRead() {
		listOneVersion();
		long confirmation = confirmation(resume("u1", "t1"));
		list(engine("c", "v1"), engine("d", "v2"));
		List<RelayEffect> answered = this.relay
			.handle(new RelayEvent.StreamVersionReceived(this.relay.now(), RunId.unnumbered("t1"), attempt("v2", 1)));
		assertThat(sends(answered)).singleElement().extracting(Upstream::id).isEqualTo("d");
		assertThat(this.relay.confirm(confirmation)).isEmpty();
	}

	// Guards against a final refusal by a relay that has not seen the new upstreams yet,
	// while the log or a peer names their version.
	@Test
	void versionIsNotGoneBeforeTheListIsComplete() {
		listOneVersion();
		this.relay.readFromLog(reserved("t1", "v2", 1));
		resume("u1", "t1");
		long confirmation = confirmation(this.relay.logEndRead());
		this.relay.handle(new RelayEvent.UpstreamUpdated(this.relay.now(), engine("d", "v2")));
		assertThat(sends(this.relay.confirm(confirmation))).singleElement().extracting(Upstream::id).isEqualTo("d");
	}

	@Test
	void versionIsNotGoneIfTheListIsNotRead() {
		listOneVersion();
		this.relay.readFromLog(reserved("t1", "v2", 1));
		resume("u1", "t1");
		confirmation(this.relay.logEndRead());
		assertRefusedAsUnknown(this.relay.fireTimer(TimerKind.UPSTREAM_CONFIRMATION));
		this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(), Connectivity.RELAYS));
		assertRefusedAsUnknown(resume("u2", "t1"));
	}

	// Guards against the version of an attempt that brought no event: its relay has
	// retried at another version since this one read the log.
	@Test
	void earlierAttemptInTheLogIsNotTakenForTheLast() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.readFromLog(reserved("t1", "v1", 1));
		assertThat(sends(resume("u1", "t1"))).isEmpty();
		this.relay.readFromLog(reserved("t1", "v2", 2));
		assertThat(sends(this.relay.logEndRead())).singleElement().extracting(Upstream::version).isEqualTo("v2");
	}

	@Test
	void attemptInTheLogIsUnknownIfTheLogIsNotRead() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.readFromLog(reserved("t1", "v1", 1));
		resume("u1", "t1");
		assertThat(sends(this.relay.handle(new RelayEvent.LogEndRead(this.relay.now(), this.relay.now() - 1))))
			.isEmpty();
		assertRefusedAsUnknown(this.relay.fireTimer(TimerKind.STREAM_VERSION));
	}

	// Guards against a peer that answers first and knows an earlier attempt only.
	@Test
	void attemptThatMayNotBeTheLastIsNotSentToOtherRelays() {
		this.relay.readFromLog(reserved("t1", "v1", 1));
		RelayEvent request = new RelayEvent.StreamVersionRequested(this.relay.now(), "relay-2", "t1");
		assertThat(this.relay.handle(request)).isEmpty();
		this.relay.advance(4_000);
		this.relay.logEndRead();
		assertThat(this.relay.handle(request))
			.containsExactly(new RelayEffect.SendStreamVersion("relay-2", RunId.unnumbered("t1"), attempt("v1", 1)));
	}

	// Guards against refusing all streams during an outage of the log.
	@Test
	void attemptIsFinalOnceItsRetriesHaveTimedOut() {
		list(engine("c", "v1"), engine("d", "v2"));
		this.relay.readFromLog(reserved("t1", "v1", 1));
		this.relay.advance(4_000);
		this.relay.logEndRead();
		this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(), Connectivity.RELAYS));
		assertThat(sends(resume("u1", "t1"))).singleElement().extracting(Upstream::version).isEqualTo("v1");
	}

	// Guards against any order of changes, cuts, pauses, losses and late answers in which
	// a stream continues at another version.
	@Test
	void streamsContinueAtTheirVersionsInAnyOrderOfSteps() {
		int continued = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			Site site = new Site(new Random(seed));
			for (int step = 0; step < STEPS; step++) {
				site.step();
			}
			continued += site.continued;
		}
		assertThat(continued).isGreaterThan(SEEDS);
	}

	private void listOneVersion() {
		list(engine("c", "v1"));
		this.relay.advance(RETENTION_MS + 1);
	}

	private List<RelayEffect> resume(String id, String origin) {
		return this.relay.sendRequest(RelayFixture.resuming(id, origin, 1), "body");
	}

	private void list(Upstream... upstreams) {
		this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of(upstreams)));
	}

	private static void assertRefusedAsUnknown(List<RelayEffect> effects) {
		RelayEffect.Refuse refusal = RelayFixture.ofType(effects, RelayEffect.Refuse.class).getFirst();
		assertThat(refusal.refusal()).isEqualTo(Refusal.VERSION_UNKNOWN);
		assertThat(refusal.retryAfter()).isPresent();
		assertThat(sends(effects)).isEmpty();
	}

	private static long confirmation(List<RelayEffect> effects) {
		assertThat(sends(effects)).isEmpty();
		return RelayFixture.ofType(effects, RelayEffect.ConfirmUpstreams.class).getLast().confirmation();
	}

	private static List<Upstream> sends(List<RelayEffect> effects) {
		return RelayFixture.ofType(effects, RelayEffect.SendRequest.class)
			.stream()
			.map(RelayEffect.SendRequest::upstream)
			.toList();
	}

	private static Upstream engine(String id, String version) {
		return RelayFixture.engine(id, version, false);
	}

	private static LedgerEntry reserved(String request, String version, int number) {
		return new LedgerEntry.Reserved(RunId.unnumbered(request), "p", 100, "x", List.of(), false,
				Optional.of(attempt(version, number)));
	}

	private static StreamAttempt attempt(String version, int number) {
		return new StreamAttempt(new SoftwareVersion(RelayFixture.ENGINE, version), number);
	}

	/**
	 * A list of upstreams that a relay follows with delay, and streams that begin at
	 * listed upstreams through other relays. Used by one thread.
	 */
	private static final class Site {

		private final RelayFixture relay = RelayFixture.ready();

		private final Random random;

		private final Map<String, Upstream> listed = new TreeMap<>();

		private final Deque<RelayEvent> unread = new ArrayDeque<>();

		private final Deque<LedgerEntry> unreadLog = new ArrayDeque<>();

		private final List<String> streams = new ArrayList<>();

		private final Map<String, String> versions = new TreeMap<>();

		private int created;

		private int continued;

		private long begunAt;

		Site(Random random) {
			this.random = random;
			this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.of()));
			this.relay.advance(RETENTION_MS + 1);
			join("v1");
			readAll();
		}

		void step() {
			switch (this.random.nextInt(13)) {
				case 0 -> join("v" + (1 + this.random.nextInt(2)));
				case 1 -> leave();
				case 2 -> readOne();
				case 3 -> missChanges();
				case 4 -> this.relay.advance(this.random.nextInt(RETENTION_MS));
				case 5 -> this.relay.handle(new RelayEvent.ProcessResumed(this.relay.now(), Duration.ofSeconds(2)));
				case 6 -> this.relay.handle(RelayFixture.caughtUp(this.relay.now()));
				case 7 -> this.relay.handle(new RelayEvent.ConnectivityChanged(this.relay.now(),
						Connectivity.values()[this.random.nextInt(2)]));
				case 8 -> this.relay
					.handle(this.random.nextBoolean() ? new RelayEvent.PeerConnected(this.relay.now(), "relay-2")
							: new RelayEvent.PeerDisconnected(this.relay.now(), "relay-2"));
				case 9 -> begin();
				case 10 -> readLog();
				default -> resume();
			}
		}

		private void join(String version) {
			Upstream upstream = engine("e" + this.created++, version);
			this.listed.put(upstream.id(), upstream);
			this.unread.add(new RelayEvent.UpstreamUpdated(this.relay.now(), upstream));
		}

		private void leave() {
			if (this.listed.size() < 2) {
				return;
			}
			String id = List.copyOf(this.listed.keySet()).get(this.random.nextInt(this.listed.size()));
			this.listed.remove(id);
			this.unread.add(new RelayEvent.UpstreamRemoved(this.relay.now(), id));
		}

		private void readOne() {
			if (!this.unread.isEmpty()) {
				this.relay.handle(at(this.unread.removeFirst()));
			}
		}

		private void readAll() {
			while (!this.unread.isEmpty()) {
				readOne();
			}
		}

		private void missChanges() {
			if (this.unread.isEmpty() || this.random.nextInt(4) > 0) {
				return;
			}
			this.unread.clear();
			this.relay.handle(new RelayEvent.UpstreamChangesMissed(this.relay.now()));
			this.relay.handle(new RelayEvent.UpstreamsReplaced(this.relay.now(), List.copyOf(this.listed.values())));
		}

		private RelayEvent at(RelayEvent event) {
			return switch (event) {
				case RelayEvent.UpstreamUpdated updated ->
					new RelayEvent.UpstreamUpdated(this.relay.now(), updated.upstream());
				case RelayEvent.UpstreamRemoved removed ->
					new RelayEvent.UpstreamRemoved(this.relay.now(), removed.id());
				default -> throw new IllegalStateException();
			};
		}

		private void begin() {
			List<Upstream> upstreams = List.copyOf(this.listed.values());
			String version = upstreams.get(this.random.nextInt(upstreams.size())).version();
			String stream = "t" + this.created++;
			this.begunAt = this.relay.now();
			this.streams.add(stream);
			this.versions.put(stream, version);
			if (this.random.nextBoolean()) {
				String first = upstreams.get(this.random.nextInt(upstreams.size())).version();
				this.unreadLog.add(reserved(stream, first, 1));
				this.unreadLog.add(reserved(stream, version, 2));
			}
		}

		private void readLog() {
			if (!this.unreadLog.isEmpty()) {
				this.relay.readFromLog(Duration.ofSeconds(this.random.nextInt(4)), this.unreadLog.removeFirst());
			}
			if (this.unreadLog.isEmpty()) {
				this.relay.logEndRead();
			}
		}

		private void resume() {
			if (this.streams.isEmpty() || this.relay.now() - this.begunAt > RETENTION_MS) {
				return;
			}
			String stream = this.streams.getLast();
			String origin = (this.random.nextInt(4) > 0) ? stream : null;
			List<RelayEffect> effects = new ArrayList<>(
					this.relay.sendRequest(RelayFixture.resuming("u" + this.created++, origin, 1), "body"));
			for (int i = this.random.nextInt(3); i > 0 && !this.unreadLog.isEmpty(); i--) {
				effects.addAll(this.relay.readFromLog(this.unreadLog.removeFirst()));
			}
			if (this.unreadLog.isEmpty()) {
				effects.addAll(this.relay.logEndRead());
			}
			int delayed = this.unread.size();
			if (this.random.nextBoolean()) {
				effects.addAll(this.relay.handle(new RelayEvent.StreamVersionReceived(this.relay.now(),
						RunId.unnumbered(stream), attempt(this.versions.get(stream), 2))));
			}
			effects.addAll(this.relay.fireTimer(TimerKind.STREAM_VERSION));
			for (int i = this.random.nextInt(2); i < delayed; i++) {
				readOne();
			}
			if (this.unread.isEmpty()) {
				RelayFixture.ofType(List.copyOf(effects), RelayEffect.ConfirmUpstreams.class)
					.forEach((request) -> effects.addAll(this.relay.confirm(request.confirmation())));
			}
			this.relay.fireTimer(TimerKind.UPSTREAM_CONFIRMATION);
			for (Upstream upstream : sends(effects)) {
				this.continued++;
				assertThat(upstream.version()).as(stream).isEqualTo(this.versions.get(stream));
				this.relay.handle(new RelayEvent.CallerDisconnected(this.relay.now(), this.relay.exchange()));
			}
		}

	}

}
