package io.lentilslip.core.retry;

import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class BackoffTests {

	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(40), Duration.ofMillis(400));

	@Property
	void delayIsBetweenHalfAndAllOfItsMaximum(@ForAll @IntRange(min = 1, max = 100) int failures, @ForAll long seed) {
		Duration maximum = Duration.ofMillis((failures < 5) ? 40L << (failures - 1) : 400);
		Duration delay = BACKOFF.delayAfter(failures, seed);
		assertThat(delay).isBetween(maximum.dividedBy(2), maximum);
	}

	@Test
	void rejectsAnInitialDelayAboveTheMaximum() {
		assertThatIllegalArgumentException().isThrownBy(() -> new Backoff(Duration.ofMillis(2), Duration.ofMillis(1)));
	}

}
