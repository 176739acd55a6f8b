package io.lentilslip.core.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamsTests {

	private static final List<PromptPart> PROMPT = List.of(new PromptPart(1, 500));

	private final Upstreams upstreams = new Upstreams();

	// An engine starts again under the id that it had, with an empty cache and nothing
	// running. Believed to hold what it held before, it would be given prompts that it
	// has
	// to read from the start, and be passed over for runs that are gone.
	@Test
	void nothingIsBelievedOfANewLifeThatWasOfTheOneBefore() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10));
		Upstreams.UpstreamState before = this.upstreams.find("a").orElseThrow();
		before.addToCache(PROMPT, 1000);
		before.recordFailure(5);
		this.upstreams.requestStarted("r", before, 5);
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 11));
		Upstreams.UpstreamState now = this.upstreams.find("a").orElseThrow();
		assertThat(now.uncachedTokens(PROMPT)).isEqualTo(500);
		assertThat(now.load(5)).isZero();
		assertThat(now.isEjected(6)).isFalse();
	}

	@Test
	void beliefOfALifeStaysWhileItOnlyChangesItsState() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10));
		this.upstreams.find("a").orElseThrow().addToCache(PROMPT, 1000);
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10));
		assertThat(this.upstreams.find("a").orElseThrow().uncachedTokens(PROMPT)).isZero();
	}

	// What the earlier life wrote is read late, or comes without its beginning. Taken,
	// the
	// upstream would be called at an address that it has left.
	@Test
	void claimOfAnEarlierLifeChangesNothing() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10));
		assertThat(this.upstreams.put(RelayFixture.withStartTime("a", "other", 9))).isFalse();
		assertThat(this.upstreams.put(RelayFixture.upstream("a", "other"))).isFalse();
		assertThat(this.upstreams.find("a").orElseThrow().upstream().service()).isEqualTo("s");
	}

	// An engine counted its requests, and this relay has sent it two since. Others have
	// sent
	// it some too, of which the log tells late; the count that includes them goes first.
	@Test
	void loadIsWhatTheUpstreamCountedWithWhatWasSentSince() {
		Upstreams.UpstreamState engine = listed("a");
		this.upstreams.requestStarted("other", engine, 0);
		this.upstreams.requestSent("before", engine, 5);
		this.upstreams.loadReported(engine, 7, 10);
		this.upstreams.requestSent("r1", engine, 20);
		this.upstreams.requestSent("r2", engine, 30);
		assertThat(engine.load(40)).isEqualTo(9);
		assertThat(engine.load(400)).isEqualTo(4);
		this.upstreams.requestEnded("r1");
		assertThat(engine.load(40)).isEqualTo(8);
	}

	@Test
	void countsOfLoadArePassedOnWithTheirAgeUntilTheyAreOld() {
		this.upstreams.loadReported(listed("a"), 7, 100);
		this.upstreams.loadReported(listed("b"), 3, 250);
		List<UpstreamLoad> passed = this.upstreams.recentLoads(300);
		assertThat(passed).containsExactly(new UpstreamLoad("b".hashCode(), 3, 50),
				new UpstreamLoad("a".hashCode(), 7, 200));
		assertThat(this.upstreams.recentLoads(450)).containsExactly(new UpstreamLoad("b".hashCode(), 3, 200));
		Upstreams other = new Upstreams();
		other.put(RelayFixture.upstream("b", "s"));
		other.mergeLoads(passed, 1_000);
		assertThat(other.find("b").orElseThrow().load(1_000)).isEqualTo(3);
		assertThat(other.recentLoads(1_010)).containsExactly(new UpstreamLoad("b".hashCode(), 3, 60));
	}

	// What two relays say of an engine arrives in another order than the engine said it.
	@Test
	void olderCountChangesNothing() {
		Upstreams.UpstreamState engine = listed("a");
		this.upstreams.loadReported(engine, 7, 100);
		this.upstreams.mergeLoads(List.of(new UpstreamLoad("a".hashCode(), 1, 30)), 120);
		assertThat(engine.load(120)).isEqualTo(7);
	}

	@Test
	void boundedNumberOfCountsIsPassedOn() {
		for (int i = 0; i < 100; i++) {
			this.upstreams.loadReported(listed("engine-" + i), i, 100 + i);
		}
		assertThat(this.upstreams.recentLoads(200)).hasSize(16)
			.first()
			.extracting(UpstreamLoad::requests)
			.isEqualTo(99);
	}

	private Upstreams.UpstreamState listed(String id) {
		this.upstreams.put(RelayFixture.upstream(id, "s"));
		return this.upstreams.find(id).orElseThrow();
	}

	@Test
	void earlierLifeIsNotFoundByItsName() {
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 10));
		this.upstreams.put(RelayFixture.withStartTime("a", "s", 11));
		assertThat(this.upstreams.findIncarnation("a@10")).isEmpty();
		assertThat(this.upstreams.findIncarnation("a@11")).isPresent();
		this.upstreams.remove("a");
		assertThat(this.upstreams.findIncarnation("a@11")).isEmpty();
	}

}
