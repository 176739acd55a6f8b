package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramTokensTests {

	private final ProgramTokens tokens = new ProgramTokens(2);

	@Test
	void reservationCountsWithMaximumUntilSettled() {
		this.tokens.reserve("p", "t", 100);
		assertThat(this.tokens.used("p")).isEqualTo(100);
		this.tokens.settle("p", "t", 30);
		assertThat(this.tokens.used("p")).isEqualTo(30);
	}

	@Test
	void duplicateEntriesCountOnce() {
		this.tokens.reserve("p", "t", 100);
		this.tokens.reserve("p", "t", 100);
		this.tokens.settle("p", "t", 30);
		this.tokens.settle("p", "t", 30);
		this.tokens.reserve("p", "t", 100);
		assertThat(this.tokens.used("p")).isEqualTo(30);
	}

	@Test
	void settlementBeforeReservationIsFinal() {
		this.tokens.settle("p", "t", 30);
		this.tokens.reserve("p", "t", 100);
		assertThat(this.tokens.used("p")).isEqualTo(30);
		assertThat(this.tokens.isOpen("p", "t")).isFalse();
	}

	@Test
	void leastRecentlyUsedProgramIsEvicted() {
		this.tokens.settle("a", "t1", 1);
		this.tokens.settle("b", "t2", 1);
		this.tokens.settle("a", "t3", 1);
		this.tokens.settle("c", "t4", 1);
		assertThat(this.tokens.used("a")).isEqualTo(2);
		assertThat(this.tokens.used("b")).isZero();
		assertThat(this.tokens.size()).isEqualTo(2);
	}

}
