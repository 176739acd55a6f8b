package io.lentilslip.core.measurement;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class MeasurementTests {

	private static final GroupName GROUP = new GroupName("sellers");

	@Test
	void negativeFirstTokenIsRejected() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new Measurement.CallEnded(GROUP, "interactive", Measurement.CallEnded.Outcome.ANSWERED,
					Duration.ofMillis(5), Duration.ZERO, Optional.of(Duration.ofMillis(-1)), 1, 0, 1))
			.withMessageStartingWith("firstToken is negative");
	}

	@Test
	void negativeSizeIsRejected() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new Measurement.CollectionSize(CollectionName.LINKS, -1, 10))
			.withMessage("size is negative: -1");
	}

	@Test
	void labelIsTheNameInLowerCase() {
		assertThat(CollectionName.KV_LEASES.label()).isEqualTo("kv_leases");
	}

}
