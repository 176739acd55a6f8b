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
		this.upstreams.put(RelayFixture.born("a", "s", 10));
		Upstreams.Known before = this.upstreams.find("a").orElseThrow();
		before.read(PROMPT, 1000);
		before.failed(5);
		this.upstreams.began("r", before, 5);
		this.upstreams.put(RelayFixture.born("a", "s", 11));
		Upstreams.Known now = this.upstreams.find("a").orElseThrow();
		assertThat(now.uncached(PROMPT)).isEqualTo(500);
		assertThat(now.load(5)).isZero();
		assertThat(now.avoided(6)).isFalse();
	}

	@Test
	void beliefOfALifeStaysWhileItOnlyChangesItsState() {
		this.upstreams.put(RelayFixture.born("a", "s", 10));
		this.upstreams.find("a").orElseThrow().read(PROMPT, 1000);
		this.upstreams.put(RelayFixture.born("a", "s", 10));
		assertThat(this.upstreams.find("a").orElseThrow().uncached(PROMPT)).isZero();
	}

	// What the earlier life wrote is read late, or comes without its beginning. Taken,
	// the
	// upstream would be called at an address that it has left.
	@Test
	void claimOfAnEarlierLifeChangesNothing() {
		this.upstreams.put(RelayFixture.born("a", "s", 10));
		assertThat(this.upstreams.put(RelayFixture.born("a", "other", 9))).isFalse();
		assertThat(this.upstreams.put(RelayFixture.upstream("a", "other"))).isFalse();
		assertThat(this.upstreams.find("a").orElseThrow().upstream().service()).isEqualTo("s");
	}

	@Test
	void earlierLifeIsNotFoundByItsName() {
		this.upstreams.put(RelayFixture.born("a", "s", 10));
		this.upstreams.put(RelayFixture.born("a", "s", 11));
		assertThat(this.upstreams.ofLife("a@10")).isEmpty();
		assertThat(this.upstreams.ofLife("a@11")).isPresent();
		this.upstreams.remove("a");
		assertThat(this.upstreams.ofLife("a@11")).isEmpty();
	}

}
