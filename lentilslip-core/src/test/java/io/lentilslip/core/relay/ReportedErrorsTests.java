package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportedErrorsTests {

	private final ReportedErrors errors = new ReportedErrors();

	@Test
	void errorOfARecordIsMarkedOnce() {
		assertThat(this.errors.markReported("a", UpstreamRecordError.SLOTS)).isTrue();
		assertThat(this.errors.markReported("a", UpstreamRecordError.SLOTS)).isFalse();
		assertThat(this.errors.markReported("a", UpstreamRecordError.STATE)).isTrue();
		assertThat(this.errors.markReported("b", UpstreamRecordError.SLOTS)).isTrue();
	}

	@Test
	void numberOfErrorsIsBounded() {
		for (int i = 0; i < 5000; i++) {
			this.errors.markReported("key-" + i, UpstreamRecordError.FIELD);
		}
		assertThat(this.errors.markReported("key-0", UpstreamRecordError.FIELD)).isTrue();
		assertThat(this.errors.markReported("key-4999", UpstreamRecordError.FIELD)).isFalse();
	}

}
