package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetainedProgramsTests {

	private final RetainedPrograms programs = new RetainedPrograms(2);

	@Test
	void renewalDefersTheNextOne() {
		this.programs.recordTurn("p", 1_000);
		this.programs.recordRenewal("p", 9_000, 60_000);
		assertThat(this.programs.olderThan(8_000, 10_000, 60_000)).isEmpty();
		assertThat(this.programs.olderThan(9_000, 10_000, 60_000)).containsOnlyKeys("p");
	}

	@Test
	void programIsForgottenAfterItsRetention() {
		this.programs.recordTurn("p", 1_000);
		assertThat(this.programs.olderThan(1_000, 61_000, 60_000)).hasSize(1);
		assertThat(this.programs.olderThan(1_000, 61_001, 60_000)).isEmpty();
		assertThat(this.programs.size()).isZero();
	}

	// Guards against a map that grows with the renewals of other relays.
	@Test
	void numberOfProgramsIsBounded() {
		for (int i = 0; i < 10; i++) {
			this.programs.recordRenewal("renewed" + i, 0, 60_000);
		}
		assertThat(this.programs.size()).isEqualTo(this.programs.maxSize());
	}

}
