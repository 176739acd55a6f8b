package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.Upstreams.UpstreamState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamSelectorTests {

	private static final long NOW = 1000;

	private static final List<PromptPart> PROMPT = List.of(new PromptPart(1, 12_000), new PromptPart(2, 400));

	private final Upstreams upstreams = new Upstreams();

	private final UpstreamSelector choice = new UpstreamSelector("zone-a", new SplittableRandom(1));

	@BeforeEach
	void listTwo() {
		this.upstreams.put(RelayFixture.upstream("a", "s"));
		this.upstreams.put(RelayFixture.upstream("b", "s"));
	}

	@Test
	void upstreamThatHoldsThePromptIsChosen() {
		known("b").addToCache(PROMPT, 100_000);
		assertThat(chosen(true)).isEqualTo("b");
	}

	@Test
	void loadedUpstreamIsLeftForAnotherThoughItHoldsThePrompt() {
		known("b").addToCache(PROMPT, 100_000);
		for (int i = 0; i < 7; i++) {
			known("b").requestStarted("r" + i, NOW);
		}
		assertThat(chosen(true)).isEqualTo("a");
	}

	// A conversation's next turn comes while all engines run some thirty requests each.
	// The
	// one that knows it seems a little busier than another, by a count that is some
	// hundred
	// milliseconds old. Sent to the other, the conversation would be read again there,
	// and
	// all that runs there would wait for it.
	@Test
	void conversationStaysWithItsEngineWhileAnotherSeemsALittleLessBusy() {
		List<PromptPart> session = List.of(new PromptPart(1, 3000), new PromptPart(2, 400));
		Upstreams engines = engines(2);
		UpstreamState knows = engines.find("engine-0").orElseThrow();
		knows.addToCache(session.subList(0, 1), 1_000_000);
		engines.loadReported(knows, 30, NOW);
		engines.loadReported(engines.find("engine-1").orElseThrow(), 26, NOW);
		assertThat(this.choice.rank(engines.available("s"), Set.of(), session, true, NOW).getFirst().state())
			.isSameAs(knows);
	}

	// A burst on six engines: 60 conversations of seven turns, about thirty requests at
	// each
	// engine, and counts of load that are off by up to four. Each program went to
	// whichever
	// engine seemed least busy, and most of what engines read they or another had read
	// before: they were slow for all, and programs were late that would have been on
	// time.
	@Test
	void conversationsAreReadOnceInABurst() {
		Upstreams engines = engines(6);
		SplittableRandom random = new SplittableRandom(7);
		Deque<UpstreamState> running = new ArrayDeque<>();
		Map<UpstreamState, Integer> load = new HashMap<>();
		List<List<PromptPart>> conversations = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			conversations.add(new ArrayList<>());
		}
		long read = 0;
		long input = 0;
		for (int turn = 0; turn < 60 * 7; turn++) {
			List<PromptPart> conversation = conversations.get(turn % 60);
			conversation.add(new PromptPart(turn, 1000));
			input += 1000;
			for (UpstreamState engine : engines.available("s")) {
				int off = random.nextInt(-4, 5);
				engines.loadReported(engine, Math.max(0, load.getOrDefault(engine, 0) + off), NOW + turn);
			}
			UpstreamState chosen = this.choice.rank(engines.available("s"), Set.of(), conversation, true, NOW + turn)
				.getFirst()
				.state();
			read += chosen.uncachedTokens(conversation);
			chosen.addToCache(conversation, 1_000_000);
			load.merge(chosen, 1, Integer::sum);
			running.add(chosen);
			if (running.size() > 180) {
				load.merge(running.removeFirst(), -1, Integer::sum);
			}
		}
		assertThat(read).isLessThan(input * 13 / 10);
		assertThat(load.values()).allSatisfy((requests) -> assertThat(requests).isBetween(15, 45));
	}

	private static Upstreams engines(int count) {
		Upstreams engines = new Upstreams();
		for (int i = 0; i < count; i++) {
			engines.put(new Upstream("engine-" + i, "s", "10.0.0." + i, 80, "zone-a", 64, false, OptionalLong.empty()));
		}
		return engines;
	}

	@Test
	void partBehindAMissingPartDoesNotCount() {
		known("b").addToCache(List.of(PROMPT.getLast()), 100_000);
		assertThat(known("b").uncachedTokens(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void leastRecentlyReadPartsYieldBeyondTheMemory() {
		known("a").addToCache(PROMPT, 12_000);
		assertThat(known("a").uncachedTokens(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void upstreamThatFailedIsUsedOnlyIfAllHave() {
		known("a").recordFailure(NOW);
		assertThat(chosen(false)).isEqualTo("b");
		known("b").recordFailure(NOW);
		assertThat(chosen(false)).isNotEmpty();
	}

	@Test
	void runsThatNobodySettlesStopCounting() {
		known("a").requestStarted("r", NOW);
		assertThat(known("a").load(NOW)).isEqualTo(1);
		assertThat(known("a").load(NOW + 6_000)).isZero();
	}

	@Test
	void excludedUpstreamsAreNotChosen() {
		assertThat(this.choice.rank(this.upstreams.available("s"), Set.of("a", "b"), List.of(), false, NOW)).isEmpty();
	}

	@Test
	void bestThreeAreKeptInOrder() {
		for (String id : List.of("c", "d", "e")) {
			this.upstreams.put(RelayFixture.upstream(id, "s"));
		}
		for (int i = 0; i < 4; i++) {
			for (String id : List.of("a", "b", "c", "d").subList(0, 4 - i)) {
				known(id).requestStarted(id + i, NOW);
			}
		}
		assertThat(this.choice.rank(this.upstreams.available("s"), Set.of(), List.of(), false, NOW))
			.extracting((weighed) -> weighed.state().upstream().id())
			.containsExactly("e", "d", "c");
	}

	// Every relay has its own random choices; requests about one object still meet at one
	// upstream, unless it is busier than another.
	@Test
	void requestsAboutOneObjectMeetAtOneUpstreamUnlessItIsBusier() {
		Set<String> chosen = new HashSet<>();
		for (int relay = 0; relay < 20; relay++) {
			chosen.add(chosenFor("tank-7", new UpstreamSelector("zone-a", new SplittableRandom(relay))));
		}
		assertThat(chosen).hasSize(1);
		String home = chosen.iterator().next();
		known(home).requestStarted("r1", NOW);
		assertThat(chosenFor("tank-7", this.choice)).isNotEqualTo(home);
	}

	@Test
	void objectsSpreadOverUpstreams() {
		Set<String> chosen = new HashSet<>();
		for (int object = 0; object < 20; object++) {
			chosen.add(chosenFor("tank-" + object, this.choice));
		}
		assertThat(chosen).containsExactlyInAnyOrder("a", "b");
	}

	private String chosenFor(String object, UpstreamSelector by) {
		return by.rank(this.upstreams.available("s"), Set.of(), List.of(), false, Optional.of(object), NOW)
			.getFirst()
			.state()
			.upstream()
			.id();
	}

	private UpstreamState known(String id) {
		return this.upstreams.find(id).orElseThrow();
	}

	private String chosen(boolean engine) {
		return this.choice.rank(this.upstreams.available("s"), Set.of(), PROMPT, engine, NOW)
			.getFirst()
			.state()
			.upstream()
			.id();
	}

}
