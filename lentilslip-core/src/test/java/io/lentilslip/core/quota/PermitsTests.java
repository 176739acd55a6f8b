package io.lentilslip.core.quota;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Permits}.
 */
class PermitsTests {

	// Guards against a refund by a coordinator that did not grant the permits.
	@Test
	void expiredPermitsAreRefundedByTheirGrantorOnly() {
		Permits permits = new Permits();
		permits.add("a", 2, 0);
		permits.add("b", 1, 900);
		assertThat(permits.takeExpired("b", 1100)).isZero();
	}

}
