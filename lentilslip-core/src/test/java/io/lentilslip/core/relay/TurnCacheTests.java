package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.TurnCache.Chain;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TurnCacheTests {

	// Guards against fetching a text from the relay that sent its location instead of
	// the one that ran the turn.
	@Test
	void originOfALocationTakesPrecedenceOverItsSender() {
		TurnCache cache = new TurnCache(1000);
		TextLocation location = new TextLocation(Optional.empty(), 9, 5, 17, Optional.of("origin"));
		cache.recordLocation(RunId.unnumbered("t1"), location, Optional.of("sender"));
		assertThat(cache.origin("t1")).contains("origin");
		cache.recordLocation(RunId.unnumbered("t2"), RelayFixture.location(null), Optional.of("sender"));
		assertThat(cache.origin("t2")).contains("sender");
	}

	@Test
	void chainHasInputsAndOutputsOldestFirst() {
		TurnCache cache = new TurnCache(1000);
		cache.add(RunId.unnumbered("b"), turn("a", "3", "4"));
		cache.add(RunId.unnumbered("a"), turn(null, "1", "2"));
		assertThat(text(cache.chain("b"))).isEqualTo("1234");
	}

	// Guards against running a turn on a truncated history.
	@Test
	void chainWithAGapIsUnknown() {
		TurnCache cache = new TurnCache(1000);
		cache.add(RunId.unnumbered("c"), turn("b", "5", "6"));
		cache.add(RunId.unnumbered("a"), turn(null, "1", "2"));
		assertThat(cache.chain("c")).isEqualTo(new Chain.Unknown());
	}

	// The least recently used text is evicted; its location stays known.
	@Test
	void leastRecentlyUsedTextIsEvicted() {
		TurnCache cache = new TurnCache(4);
		cache.recordLocation(RunId.unnumbered("a"), RelayFixture.location(null), Optional.of("x"));
		cache.add(RunId.unnumbered("a"), turn(null, "1", "2"));
		cache.add(RunId.unnumbered("b"), turn(null, "3", "4"));
		cache.chain("b");
		cache.add(RunId.unnumbered("c"), turn(null, "5", "6"));
		assertThat(cache.chain("a")).isEqualTo(new Chain.Incomplete(List.of("a")));
		assertThat(cache.origin("a")).contains("x");
		assertThat(text(cache.chain("b"))).isEqualTo("34");
		assertThat(text(cache.chain("c"))).isEqualTo("56");
		assertThat(cache.bytes()).isEqualTo(4);
	}

	@Test
	void missingTextsAreListedNewestFirst() {
		TurnCache cache = new TurnCache(1000);
		cache.recordLocation(RunId.unnumbered("a"), RelayFixture.location(null), Optional.empty());
		cache.add(RunId.unnumbered("b"), turn("a", "3", "4"));
		cache.recordLocation(RunId.unnumbered("c"), RelayFixture.location("b"), Optional.empty());
		assertThat(cache.chain("c")).isEqualTo(new Chain.Incomplete(List.of("c", "a")));
	}

	// Guards against an endless walk along a cycle of reused turn ids.
	@Test
	void cyclicChainIsUnknown() {
		TurnCache cache = new TurnCache(1000);
		cache.recordLocation(RunId.unnumbered("a"), RelayFixture.location("b"), Optional.empty());
		cache.add(RunId.unnumbered("b"), turn("a", "1", "2"));
		assertThat(cache.chain("a")).isEqualTo(new Chain.Unknown());
	}

	@Test
	void duplicateTurnIsStoredOnce() {
		TurnCache cache = new TurnCache(1000);
		cache.add(RunId.unnumbered("a"), turn(null, "1", "2"));
		cache.add(RunId.unnumbered("a"), turn(null, "1", "2"));
		assertThat(cache.bytes()).isEqualTo(2);
		assertThat(cache.size()).isEqualTo(1);
	}

	private static String text(Chain chain) {
		return new String(((Chain.Complete) chain).text());
	}

	// Guards against a chain with an answer that its caller has given up.
	@Test
	void lastRunOfATurnCounts() {
		TurnCache cache = new TurnCache(1_000);
		RunId first = RunId.first("a", 5);
		RunId last = first.next(5);
		cache.recordLocation(last, RelayFixture.location(null), Optional.empty());
		cache.add(first, turn(null, "1", "2"));
		cache.recordLocation(first, RelayFixture.location("x"), Optional.empty());
		assertThat(cache.chain("a")).isEqualTo(new TurnCache.Chain.Incomplete(List.of("a")));
		assertThat(cache.locations("a")).containsExactly(RelayFixture.location(null));
		cache.add(last, turn(null, "3", "4"));
		cache.add(last.next(5), turn(null, "5", "6"));
		assertThat(cache.turn("a")).map(TurnText::run).contains(last.next(5));
		assertThat(cache.bytes()).isEqualTo(2);
	}

	private static StoredTurn turn(String previous, String input, String output) {
		return new StoredTurn(Optional.ofNullable(previous), input.getBytes(), output.getBytes());
	}

}
