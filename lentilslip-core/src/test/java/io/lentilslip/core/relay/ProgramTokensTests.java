package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramTokensTests {

	private final ProgramTokens tokens = new ProgramTokens(2);

	@Test
	void reservationCountsWithMaximumUntilSettled() {
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		assertThat(this.tokens.used("p")).isEqualTo(100);
		this.tokens.settle("p", RunId.unnumbered("t"), 30);
		assertThat(this.tokens.used("p")).isEqualTo(30);
	}

	@Test
	void duplicateEntriesCountOnce() {
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		this.tokens.settle("p", RunId.unnumbered("t"), 30);
		this.tokens.settle("p", RunId.unnumbered("t"), 30);
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		assertThat(this.tokens.used("p")).isEqualTo(30);
	}

	@Test
	void settlementBeforeReservationIsFinal() {
		this.tokens.settle("p", RunId.unnumbered("t"), 30);
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		assertThat(this.tokens.used("p")).isEqualTo(30);
		assertThat(this.tokens.isOpen("p", RunId.unnumbered("t"))).isFalse();
	}

	@Test
	void runsOfOneRequestAreCountedSeparately() {
		RunId first = RunId.first("t", 5);
		this.tokens.settle("p", first, 0);
		this.tokens.reserve("p", first.next(5), 100);
		this.tokens.reserve("p", first, 100);
		assertThat(this.tokens.used("p")).isEqualTo(100);
		assertThat(this.tokens.lastRun("p", "t")).contains(first.next(5));
	}

	// Guards against a run that counts twice since a relay of an earlier version passed
	// it on.
	@Test
	void entryWithoutARunCountsAsTheFirstRun() {
		RunId first = RunId.first("t", 5);
		this.tokens.reserve("p", RunId.unnumbered("t"), 100);
		this.tokens.reserve("p", first, 100);
		this.tokens.settle("p", RunId.unnumbered("t"), 30);
		assertThat(this.tokens.used("p")).isEqualTo(100);
		this.tokens.settle("p", first, 30);
		assertThat(this.tokens.used("p")).isEqualTo(30);
	}

	@Test
	void leastRecentlyUsedProgramIsEvicted() {
		this.tokens.settle("a", RunId.unnumbered("t1"), 1);
		this.tokens.settle("b", RunId.unnumbered("t2"), 1);
		this.tokens.settle("a", RunId.unnumbered("t3"), 1);
		this.tokens.settle("c", RunId.unnumbered("t4"), 1);
		assertThat(this.tokens.used("a")).isEqualTo(2);
		assertThat(this.tokens.used("b")).isZero();
		assertThat(this.tokens.size()).isEqualTo(2);
	}

}
