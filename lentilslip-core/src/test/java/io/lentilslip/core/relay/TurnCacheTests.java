package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.TurnCache.Chain;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TurnCacheTests {

	// A keeper tells of a turn that another relay ran. The text is with the one that ran
	// it,
	// which the place names.
	@Test
	void relayThatAPlaceNamesHasTheText() {
		TurnCache turns = new TurnCache(1000);
		TextLocation place = new TextLocation(Optional.empty(), 9, 5, 17, Optional.of("ran it"));
		turns.recordLocation("t1", place, Optional.of("told it"));
		assertThat(turns.origin("t1")).contains("ran it");
		turns.recordLocation("t2", RelayFixture.location(null), Optional.of("told it"));
		assertThat(turns.origin("t2")).contains("told it");
	}

	@Test
	void chainIsInputsAndOutputsFromTheOldestOn() {
		TurnCache turns = new TurnCache(1000);
		turns.add("b", turn("a", "3", "4"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(whole(turns.chain("b"))).isEqualTo("1234");
	}

	// Nobody has told of a turn in the middle. A shorter history would be a wrong one, so
	// the chain is unknown.
	@Test
	void chainWithAGapIsUnknown() {
		TurnCache turns = new TurnCache(1000);
		turns.add("c", turn("b", "5", "6"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.chain("c")).isEqualTo(new Chain.Unknown());
	}

	// Memory holds two of three texts. The one that was not asked for goes first, and is
	// known to be elsewhere, where its place was told.
	@Test
	void textsThatWereNotAskedForGoFirst() {
		TurnCache turns = new TurnCache(4);
		turns.recordLocation("a", RelayFixture.location(null), Optional.of("x"));
		turns.add("a", turn(null, "1", "2"));
		turns.add("b", turn(null, "3", "4"));
		turns.chain("b");
		turns.add("c", turn(null, "5", "6"));
		assertThat(turns.chain("a")).isEqualTo(new Chain.Incomplete(List.of("a")));
		assertThat(turns.origin("a")).contains("x");
		assertThat(whole(turns.chain("b"))).isEqualTo("34");
		assertThat(whole(turns.chain("c"))).isEqualTo("56");
		assertThat(turns.bytes()).isEqualTo(4);
	}

	@Test
	void turnsOfAChainWhoseTextsAreMissingAreNamedFromTheNewestOn() {
		TurnCache turns = new TurnCache(1000);
		turns.recordLocation("a", RelayFixture.location(null), Optional.empty());
		turns.add("b", turn("a", "3", "4"));
		turns.recordLocation("c", RelayFixture.location("b"), Optional.empty());
		assertThat(turns.chain("c")).isEqualTo(new Chain.Incomplete(List.of("c", "a")));
	}

	// A caller gave two turns one name, and the second one continued the first. Walked
	// along
	// without end, the chain would stop the relay, and all others that were told of it.
	@Test
	void turnThatLeadsBackToItselfIsUnknown() {
		TurnCache turns = new TurnCache(1000);
		turns.recordLocation("a", RelayFixture.location("b"), Optional.empty());
		turns.add("b", turn("a", "1", "2"));
		assertThat(turns.chain("a")).isEqualTo(new Chain.Unknown());
	}

	@Test
	void turnThatComesTwiceIsKeptOnce() {
		TurnCache turns = new TurnCache(1000);
		turns.add("a", turn(null, "1", "2"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.bytes()).isEqualTo(2);
		assertThat(turns.size()).isEqualTo(1);
	}

	private static String whole(Chain chain) {
		return new String(((Chain.Complete) chain).text());
	}

	private static StoredTurn turn(String previous, String input, String output) {
		return new StoredTurn(Optional.ofNullable(previous), input.getBytes(), output.getBytes());
	}

}
