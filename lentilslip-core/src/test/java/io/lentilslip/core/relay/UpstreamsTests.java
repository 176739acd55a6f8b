package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;

import io.lentilslip.core.admission.ServiceRoom;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamsTests {

	private static final List<PromptPart> PROMPT = List.of(new PromptPart(1, 500));

	private static final Duration HOLD_TIME = Duration.ofMillis(200);

	private final Upstreams upstreams = new Upstreams();

	// Guards against using estimates of an engine from before its restart.
	@Test
	void newIncarnationStartsWithoutEstimates() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10), 0);
		Upstreams.UpstreamState previous = this.upstreams.find("a").orElseThrow();
		previous.addToCache(PROMPT, 1000);
		previous.recordFailure(5);
		this.upstreams.requestStarted(RunId.unnumbered("r"), previous, 5);
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 11), 0);
		Upstreams.UpstreamState current = this.upstreams.find("a").orElseThrow();
		assertThat(current.uncachedTokens(PROMPT)).isEqualTo(500);
		assertThat(current.load(5)).isZero();
		assertThat(current.isEjected(6)).isFalse();
	}

	@Test
	void estimatesAreKeptWhileTheIncarnationIsTheSame() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10), 0);
		this.upstreams.find("a").orElseThrow().addToCache(PROMPT, 1000);
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10), 0);
		assertThat(this.upstreams.find("a").orElseThrow().uncachedTokens(PROMPT)).isZero();
	}

	// Guards against an index that grows without end, since parts of few tokens, of none
	// or of a negative number take no room of the cache.
	@Test
	void indexOfPartsIsBoundedWhateverTheirTokens() {
		for (int tokens : new int[] { 1, 0, -5, Integer.MIN_VALUE }) {
			this.upstreams.put(RelayFixture.withStartTime("a", "s", 30 + Math.abs(tokens % 7)), 0);
			Upstreams.UpstreamState engine = this.upstreams.find("a").orElseThrow();
			for (long id = 1; id <= 100_000; id++) {
				engine.addToCache(List.of(new PromptPart(id, tokens)), 1_000_000);
			}
			assertThat(engine.indexedParts()).as("parts of %d tokens", tokens).isLessThan(10_000);
		}
	}

	// Guards against connecting to the outdated address of an earlier incarnation, whose
	// record is read late or has no start time.
	@Test
	void recordOfAnEarlierIncarnationIsIgnored() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10), 0);
		assertThat(this.upstreams.put(RelayFixture.withStartTime("a", "other", 9), 0)).isFalse();
		assertThat(this.upstreams.put(RelayFixture.upstream("a", "other"), 0)).isFalse();
		assertThat(this.upstreams.find("a").orElseThrow().upstream().service()).isEqualTo("s");
	}

	// The load report includes requests of other relays, so it takes precedence over the
	// requests known from the log.
	@Test
	void loadIsTheReportPlusRequestsSentSince() {
		Upstreams.UpstreamState engine = add("a");
		this.upstreams.requestStarted(RunId.unnumbered("other"), engine, 0);
		this.upstreams.requestSent(RunId.unnumbered("before"), engine, 5);
		this.upstreams.loadReported(engine, load(7), 10);
		this.upstreams.requestSent(RunId.unnumbered("r1"), engine, 20);
		this.upstreams.requestSent(RunId.unnumbered("r2"), engine, 30);
		assertThat(engine.load(40)).isEqualTo(9);
		assertThat(engine.load(400)).isEqualTo(4);
		this.upstreams.requestEnded(RunId.unnumbered("r1"));
		assertThat(engine.load(40)).isEqualTo(8);
	}

	@Test
	void loadReportsAreSharedWithTheirAgeUntilTheyExpire() {
		this.upstreams.loadReported(add("a"), load(7), 100);
		this.upstreams.loadReported(add("b"), load(3), 250);
		List<UpstreamLoad> shared = this.upstreams.recentLoads(300);
		assertThat(shared).containsExactly(new UpstreamLoad("b".hashCode(), 3, 50),
				new UpstreamLoad("a".hashCode(), 7, 200));
		assertThat(this.upstreams.recentLoads(450)).containsExactly(new UpstreamLoad("b".hashCode(), 3, 200));
		Upstreams other = new Upstreams();
		other.put(RelayFixture.upstream("b", "s"), 0);
		other.mergeLoads(shared, 1_000);
		assertThat(other.find("b").orElseThrow().load(1_000)).isEqualTo(3);
		assertThat(other.recentLoads(1_010)).containsExactly(new UpstreamLoad("b".hashCode(), 3, 60));
	}

	// Guards against refusing programs because of requests that have ended, but whose
	// ends could not be read from the log during an outage.
	@Test
	void requestsKnownFromTheLogTakeNoRoomWithoutTheLog() {
		Upstreams.UpstreamState engine = add("a");
		for (int i = 0; i < 20; i++) {
			this.upstreams.requestStarted(RunId.unnumbered("other-" + i), engine, 0);
		}
		this.upstreams.requestSent(RunId.unnumbered("own"), engine, 10);
		ServiceRoom room = this.upstreams.room("s", HOLD_TIME, false, 500);
		assertThat(room.requests()).isEqualTo(1);
		assertThat(room.expectedWait()).isZero();
		assertThat(this.upstreams.room("s", HOLD_TIME, true, 500).requests()).isEqualTo(21);
	}

	@Test
	void slowUpstreamsProvideLessRoom() {
		this.upstreams.loadReported(add("a"), new ResponseHead.Load(6, 0, 200), 100);
		this.upstreams.loadReported(add("b"), new ResponseHead.Load(6, 0, 100), 100);
		assertThat(this.upstreams.room("s", HOLD_TIME, true, 150).places()).isEqualTo(9);
		assertThat(this.upstreams.room("s", HOLD_TIME, true, 900).places()).isEqualTo(12);
	}

	@Test
	void ejectedAndDrainingUpstreamsProvideNoRoom() {
		add("a").recordFailure(100);
		add("b");
		assertThat(this.upstreams.room("s", HOLD_TIME, true, 150).places()).isEqualTo(6);
	}

	// Guards against applying load reports of two relays out of order.
	@Test
	void outdatedLoadReportIsIgnored() {
		Upstreams.UpstreamState engine = add("a");
		this.upstreams.loadReported(engine, load(7), 100);
		this.upstreams.mergeLoads(List.of(new UpstreamLoad("a".hashCode(), 1, 30)), 120);
		assertThat(engine.load(120)).isEqualTo(7);
	}

	@Test
	void numberOfSharedLoadReportsIsBounded() {
		for (int i = 0; i < 100; i++) {
			this.upstreams.loadReported(add("engine-" + i), load(i), 100 + i);
		}
		assertThat(this.upstreams.recentLoads(200)).hasSize(16)
			.first()
			.extracting(UpstreamLoad::requests)
			.isEqualTo(99);
	}

	private static ResponseHead.Load load(int running) {
		return new ResponseHead.Load(running, 0, 100);
	}

	private Upstreams.UpstreamState add(String id) {
		this.upstreams.put(RelayFixture.upstream(id, "s"), 0);
		return this.upstreams.find(id).orElseThrow();
	}

	@Test
	void earlierIncarnationIsNotFound() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10), 0);
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 11), 0);
		assertThat(this.upstreams.findIncarnation("a@10")).isEmpty();
		assertThat(this.upstreams.findIncarnation("a@11")).isPresent();
		this.upstreams.remove("a", 0);
		assertThat(this.upstreams.findIncarnation("a@11")).isEmpty();
	}

}
