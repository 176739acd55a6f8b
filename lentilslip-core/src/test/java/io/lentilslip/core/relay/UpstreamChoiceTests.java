package io.lentilslip.core.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.relay.Upstreams.Known;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamChoiceTests {

	private static final long NOW = 1000;

	private static final List<PromptPart> PROMPT = List.of(new PromptPart(1, 12_000), new PromptPart(2, 400));

	private final Upstreams upstreams = new Upstreams();

	private final UpstreamChoice choice = new UpstreamChoice("zone-a", new SplittableRandom(1));

	@BeforeEach
	void listTwo() {
		this.upstreams.put(RelayFixture.upstream("a", "s"));
		this.upstreams.put(RelayFixture.upstream("b", "s"));
	}

	@Test
	void upstreamThatHoldsThePromptIsChosen() {
		known("b").read(PROMPT, 100_000);
		assertThat(chosen(true)).isEqualTo("b");
	}

	@Test
	void loadedUpstreamIsLeftForAnotherThoughItHoldsThePrompt() {
		known("b").read(PROMPT, 100_000);
		for (int i = 0; i < 7; i++) {
			known("b").began("r" + i, NOW);
		}
		assertThat(chosen(true)).isEqualTo("a");
	}

	@Test
	void partBehindAMissingPartDoesNotCount() {
		known("b").read(List.of(PROMPT.getLast()), 100_000);
		assertThat(known("b").uncached(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void leastRecentlyReadPartsYieldBeyondTheMemory() {
		known("a").read(PROMPT, 12_000);
		assertThat(known("a").uncached(PROMPT)).isEqualTo(12_400);
	}

	@Test
	void upstreamThatFailedIsUsedOnlyIfAllHave() {
		known("a").failed(NOW);
		assertThat(chosen(false)).isEqualTo("b");
		known("b").failed(NOW);
		assertThat(chosen(false)).isNotEmpty();
	}

	@Test
	void runsThatNobodySettlesStopCounting() {
		known("a").began("r", NOW);
		assertThat(known("a").load(NOW)).isEqualTo(1);
		assertThat(known("a").load(NOW + 6_000)).isZero();
	}

	@Test
	void excludedUpstreamsAreNotChosen() {
		assertThat(this.choice.weigh(this.upstreams.taking("s"), Set.of("a", "b"), List.of(), false, NOW)).isEmpty();
	}

	@Test
	void bestThreeAreKeptInOrder() {
		for (String id : List.of("c", "d", "e")) {
			this.upstreams.put(RelayFixture.upstream(id, "s"));
		}
		for (int i = 0; i < 4; i++) {
			for (String id : List.of("a", "b", "c", "d").subList(0, 4 - i)) {
				known(id).began(id + i, NOW);
			}
		}
		assertThat(this.choice.weigh(this.upstreams.taking("s"), Set.of(), List.of(), false, NOW))
			.extracting((weighed) -> weighed.candidate().upstream().id())
			.containsExactly("e", "d", "c");
	}

	// Every relay has its own random choices; requests about one object still meet at one
	// upstream, unless it is busier than another.
	@Test
	void requestsAboutOneObjectMeetAtOneUpstreamUnlessItIsBusier() {
		Set<String> chosen = new HashSet<>();
		for (int relay = 0; relay < 20; relay++) {
			chosen.add(chosenFor("tank-7", new UpstreamChoice("zone-a", new SplittableRandom(relay))));
		}
		assertThat(chosen).hasSize(1);
		String home = chosen.iterator().next();
		known(home).began("r1", NOW);
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

	private String chosenFor(String object, UpstreamChoice by) {
		return by.weigh(this.upstreams.taking("s"), Set.of(), List.of(), false, Optional.of(object), NOW)
			.getFirst()
			.candidate()
			.upstream()
			.id();
	}

	private Known known(String id) {
		return this.upstreams.find(id).orElseThrow();
	}

	private String chosen(boolean engine) {
		return this.choice.weigh(this.upstreams.taking("s"), Set.of(), PROMPT, engine, NOW)
			.getFirst()
			.candidate()
			.upstream()
			.id();
	}

}
