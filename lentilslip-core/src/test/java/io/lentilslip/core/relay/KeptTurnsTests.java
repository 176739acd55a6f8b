package io.lentilslip.core.relay;

import java.util.Optional;

import io.lentilslip.core.relay.LedgerEntry.KeptTurn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeptTurnsTests {

	@Test
	void chainIsInputsAndOutputsFromTheOldestOn() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("b", turn("a", "3", "4"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.chain("b").map(String::new)).contains("1234");
	}

	// A turn in the middle was given up for want of memory. A shorter history would be a
	// wrong one, so the chain is unknown.
	@Test
	void chainWithAGapIsUnknown() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("c", turn("b", "5", "6"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.chain("c")).isEmpty();
	}

	@Test
	void oldestTurnsGoFirst() {
		KeptTurns turns = new KeptTurns(4);
		turns.add("a", turn(null, "1", "2"));
		turns.add("b", turn(null, "3", "4"));
		turns.add("c", turn(null, "5", "6"));
		assertThat(turns.chain("a")).isEmpty();
		assertThat(turns.chain("c")).isPresent();
		assertThat(turns.bytes()).isEqualTo(4);
	}

	@Test
	void turnThatComesTwiceIsKeptOnce() {
		KeptTurns turns = new KeptTurns(1000);
		turns.add("a", turn(null, "1", "2"));
		turns.add("a", turn(null, "1", "2"));
		assertThat(turns.bytes()).isEqualTo(2);
		assertThat(turns.size()).isEqualTo(1);
	}

	private static KeptTurn turn(String previous, String input, String output) {
		return new KeptTurn(Optional.ofNullable(previous), input.getBytes(), output.getBytes());
	}

}
