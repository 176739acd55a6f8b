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

	private final UpstreamSelector selector = new UpstreamSelector("zone-a", new SplittableRandom(1));

	@BeforeEach
	void addUpstreams() {
		this.upstreams.put(RelayFixture.upstream("a", "s"), 0);
		this.upstreams.put(RelayFixture.upstream("b", "s"), 0);
	}

	@Test
	void upstreamWithTheCachedPromptIsSelected() {
		state("b").addToCache(PROMPT, 100_000);
		assertThat(selected(true)).isEqualTo("b");
	}

	@Test
	void loadedUpstreamIsNotSelectedDespiteTheCachedPrompt() {
		state("b").addToCache(PROMPT, 100_000);
		for (int i = 0; i < 7; i++) {
			state("b").requestStarted(RunId.unnumbered("r" + i), NOW);
		}
		assertThat(selected(true)).isEqualTo("a");
	}

	// Guards against moving a conversation to a slightly less loaded engine, where its
	// prompt would have to be prefilled again.
	@Test
	void conversationStaysWithItsEngineIfAnotherIsSlightlyLessLoaded() {
		List<PromptPart> session = List.of(new PromptPart(1, 3000), new PromptPart(2, 400));
		Upstreams engines = engines(2);
		UpstreamState withCachedPrompt = engines.find("engine-0").orElseThrow();
		withCachedPrompt.addToCache(session.subList(0, 1), 1_000_000);
		engines.loadReported(withCachedPrompt, load(30), NOW);
		engines.loadReported(engines.find("engine-1").orElseThrow(), load(26), NOW);
		assertThat(this.selector.rank(engines.available("s"), Set.of(), session, true, NOW).getFirst().state())
			.isSameAs(withCachedPrompt);
	}

	// Guards against repeated prefill of conversations in a burst with inaccurate load
	// reports.
	@Test
	void conversationsArePrefilledOnceInABurst() {
		Upstreams engines = engines(6);
		SplittableRandom random = new SplittableRandom(7);
		Deque<UpstreamState> running = new ArrayDeque<>();
		Map<UpstreamState, Integer> load = new HashMap<>();
		List<List<PromptPart>> conversations = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			conversations.add(new ArrayList<>());
		}
		long prefilled = 0;
		long input = 0;
		for (int turn = 0; turn < 60 * 7; turn++) {
			List<PromptPart> conversation = conversations.get(turn % 60);
			conversation.add(new PromptPart(turn, 1000));
			input += 1000;
			for (UpstreamState engine : engines.available("s")) {
				int error = random.nextInt(-4, 5);
				engines.loadReported(engine, load(Math.max(0, load.getOrDefault(engine, 0) + error)), NOW + turn);
			}
			UpstreamState selected = this.selector
				.rank(engines.available("s"), Set.of(), conversation, true, NOW + turn)
				.getFirst()
				.state();
			prefilled += selected.uncachedTokens(conversation);
			selected.addToCache(conversation, 1_000_000);
			load.merge(selected, 1, Integer::sum);
			running.add(selected);
			if (running.size() > 180) {
				load.merge(running.removeFirst(), -1, Integer::sum);
			}
		}
		assertThat(prefilled).isLessThan(input * 13 / 10);
		assertThat(load.values()).allSatisfy((requests) -> assertThat(requests).isBetween(15, 45));
	}

	private static Upstreams engines(int count) {
		Upstreams engines = new Upstreams();
		for (int i = 0; i < count; i++) {
			engines.put(new Upstream("engine-" + i, "s", "10.0.0." + i, 80, "zone-a", 64, false, OptionalLong.empty(),
					"v1"), 0);
		}
		return engines;
	}

	@Test
	void partAfterAMissingPartIsNotCached() {
		state("b").addToCache(List.of(PROMPT.getLast()), 100_000);
		assertThat(state("b").uncachedTokens(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void leastRecentlyUsedPartsAreEvicted() {
		state("a").addToCache(PROMPT, 12_000);
		assertThat(state("a").uncachedTokens(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void ejectedUpstreamIsSelectedOnlyIfAllAreEjected() {
		state("a").recordFailure(NOW);
		assertThat(selected(false)).isEqualTo("b");
		state("b").recordFailure(NOW);
		assertThat(selected(false)).isNotEmpty();
	}

	@Test
	void unsettledRequestsExpire() {
		state("a").requestStarted(RunId.unnumbered("r"), NOW);
		assertThat(state("a").load(NOW)).isEqualTo(1);
		assertThat(state("a").load(NOW + 6_000)).isZero();
	}

	@Test
	void excludedUpstreamsAreNotSelected() {
		assertThat(this.selector.rank(this.upstreams.available("s"), Set.of("a", "b"), List.of(), false, NOW))
			.isEmpty();
	}

	@Test
	void bestThreeAreReturnedInOrder() {
		for (String id : List.of("c", "d", "e")) {
			this.upstreams.put(RelayFixture.upstream(id, "s"), 0);
		}
		for (int i = 0; i < 4; i++) {
			for (String id : List.of("a", "b", "c", "d").subList(0, 4 - i)) {
				state(id).requestStarted(RunId.unnumbered(id + i), NOW);
			}
		}
		assertThat(this.selector.rank(this.upstreams.available("s"), Set.of(), List.of(), false, NOW))
			.extracting((ranked) -> ranked.state().upstream().id())
			.containsExactly("e", "d", "c");
	}

	// Relays with different random seeds select the same upstream for an affinity key,
	// unless it is more loaded than another.
	@Test
	void requestsWithOneAffinityKeySelectOneUpstreamUnlessItIsMoreLoaded() {
		Set<String> selected = new HashSet<>();
		for (int relay = 0; relay < 20; relay++) {
			selected.add(selectedFor("tank-7", new UpstreamSelector("zone-a", new SplittableRandom(relay))));
		}
		assertThat(selected).hasSize(1);
		String target = selected.iterator().next();
		state(target).requestStarted(RunId.unnumbered("r1"), NOW);
		assertThat(selectedFor("tank-7", this.selector)).isNotEqualTo(target);
	}

	@Test
	void affinityKeysAreSpreadOverUpstreams() {
		Set<String> selected = new HashSet<>();
		for (int key = 0; key < 20; key++) {
			selected.add(selectedFor("tank-" + key, this.selector));
		}
		assertThat(selected).containsExactlyInAnyOrder("a", "b");
	}

	private String selectedFor(String affinityKey, UpstreamSelector selector) {
		return selector.rank(this.upstreams.available("s"), Set.of(), List.of(), false, Optional.of(affinityKey), NOW)
			.getFirst()
			.state()
			.upstream()
			.id();
	}

	private UpstreamState state(String id) {
		return this.upstreams.find(id).orElseThrow();
	}

	private String selected(boolean engine) {
		return this.selector.rank(this.upstreams.available("s"), Set.of(), PROMPT, engine, NOW)
			.getFirst()
			.state()
			.upstream()
			.id();
	}

	private static ResponseHead.Load load(int running) {
		return new ResponseHead.Load(running, 0, ResponseHead.Load.USUAL_PERCENT);
	}

}
