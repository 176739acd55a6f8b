package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.KeptTurns.Chain;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeptTurnsTests {

	// A keeper tells of a turn that another relay ran. The text is with the one that ran
	// it,
	// which the place names.
	@Test
	void relayThatAPlaceNamesHasTheText() {
		KeptTurns turns = new KeptTurns(1000);
		TextPlace place = new TextPlace(Optional.empty(), 9, 5, 17, Optional.of("ran it"));
		turns.note("t1", place, Optional.of("told it"));
		assertThat(turns.holder("t1")).contains("ran it");
		turns.note("t2", RelayFixture.place(null), Optional.of("told it"));
		assertThat(turns.holder("t2")).contains("told it");
	}

	@Test
	void chainIsInputsAndOutputsFromTheOldestOn() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("b", turn("a", "3", "4"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(whole(turns.chain("b"))).isEqualTo("1234");
	}

	// Nobody has told of a turn in the middle. A shorter history would be a wrong one, so
	// the chain is unknown.
	@Test
	void chainWithAGapIsUnknown() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("c", turn("b", "5", "6"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.chain("c")).isEqualTo(new Chain.Unknown());
	}

	// Memory holds two of three texts. The one that was not asked for goes first, and is
	// known to be elsewhere, where its place was told.
	@Test
	void textsThatWereNotAskedForGoFirst() {
		KeptTurns turns = new KeptTurns(4);
		turns.note("a", RelayFixture.place(null), Optional.of("x"));
		turns.add("a", turn(null, "1", "2"));
		turns.add("b", turn(null, "3", "4"));
		turns.chain("b");
		turns.add("c", turn(null, "5", "6"));
		assertThat(turns.chain("a")).isEqualTo(new Chain.Elsewhere(List.of("a")));
		assertThat(turns.holder("a")).contains("x");
		assertThat(whole(turns.chain("b"))).isEqualTo("34");
		assertThat(whole(turns.chain("c"))).isEqualTo("56");
		assertThat(turns.bytes()).isEqualTo(4);
	}

	@Test
	void turnsOfAChainWhoseTextsAreMissingAreNamedFromTheNewestOn() {
		KeptTurns turns = new KeptTurns(1000);
		turns.note("a", RelayFixture.place(null), Optional.empty());
		turns.add("b", turn("a", "3", "4"));
		turns.note("c", RelayFixture.place("b"), Optional.empty());
		assertThat(turns.chain("c")).isEqualTo(new Chain.Elsewhere(List.of("c", "a")));
	}

	// A caller gave two turns one name, and the second one continued the first. Walked
	// along
	// without end, the chain would stop the relay, and all others that were told of it.
	@Test
	void turnThatLeadsBackToItselfIsUnknown() {
		KeptTurns turns = new KeptTurns(1000);
		turns.note("a", RelayFixture.place("b"), Optional.empty());
		turns.add("b", turn("a", "1", "2"));
		assertThat(turns.chain("a")).isEqualTo(new Chain.Unknown());
	}

	@Test
	void turnThatComesTwiceIsKeptOnce() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("a", turn(null, "1", "2"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.bytes()).isEqualTo(2);
		assertThat(turns.size()).isEqualTo(1);
	}

	private static String whole(Chain chain) {
		return new String(((Chain.Whole) chain).text());
	}

	private static KeptTurn turn(String previous, String input, String output) {
		return new KeptTurn(Optional.ofNullable(previous), input.getBytes(), output.getBytes());
	}

}
