package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ToldProblemsTests {

	private final ToldProblems problems = new ToldProblems();

	@Test
	void problemOfARecordIsTheFirstOnce() {
		assertThat(this.problems.first("a", EntryProblem.SLOTS)).isTrue();
		assertThat(this.problems.first("a", EntryProblem.SLOTS)).isFalse();
		assertThat(this.problems.first("a", EntryProblem.STATE)).isTrue();
		assertThat(this.problems.first("b", EntryProblem.SLOTS)).isTrue();
	}

	@Test
	void numberOfRememberedProblemsIsBounded() {
		for (int i = 0; i < 5000; i++) {
			this.problems.first("key-" + i, EntryProblem.FIELD);
		}
		assertThat(this.problems.first("key-0", EntryProblem.FIELD)).isTrue();
		assertThat(this.problems.first("key-4999", EntryProblem.FIELD)).isFalse();
	}

}
