package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportedErrorsTests {

	private final ReportedErrors problems = new ReportedErrors();

	@Test
	void problemOfARecordIsTheFirstOnce() {
		assertThat(this.problems.markReported("a", UpstreamRecordError.SLOTS)).isTrue();
		assertThat(this.problems.markReported("a", UpstreamRecordError.SLOTS)).isFalse();
		assertThat(this.problems.markReported("a", UpstreamRecordError.STATE)).isTrue();
		assertThat(this.problems.markReported("b", UpstreamRecordError.SLOTS)).isTrue();
	}

	@Test
	void numberOfRememberedProblemsIsBounded() {
		for (int i = 0; i < 5000; i++) {
			this.problems.markReported("key-" + i, UpstreamRecordError.FIELD);
		}
		assertThat(this.problems.markReported("key-0", UpstreamRecordError.FIELD)).isTrue();
		assertThat(this.problems.markReported("key-4999", UpstreamRecordError.FIELD)).isFalse();
	}

}
