package io.lentilslip.core.admission;

import java.time.Duration;
import java.util.SplittableRandom;

import io.lentilslip.core.admission.ConcurrencyLimit.Sample;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ConcurrencyLimitTests {

	private static final long WORK = 100;

	private static final int MAXIMUM = 256;

	// An upstream serves a number of calls at once without slowing down and shares its
	// time
	// among more than that. Under load without end, the limit has to find that number:
	// below it the upstream idles, far above it calls wait where nobody orders them.
	@Property(tries = 100, seed = "1")
	void findsWhatTheUpstreamServesAtOnce(@ForAll @IntRange(min = 2, max = 64) int atOnce,
			@ForAll @IntRange(min = 1, max = 100) int millis) {
		ConcurrencyLimit limit = underLoad(ConcurrencyLimit.between(1, MAXIMUM), atOnce, millis, 400);
		int least = MAXIMUM;
		int most = 0;
		for (int round = 0; round < 200; round++) {
			limit = underLoad(limit, atOnce, millis, 1);
			if (!isProbing(limit)) {
				least = Math.min(least, limit.limit());
				most = Math.max(most, limit.limit());
			}
		}
		assertThat(least).isGreaterThanOrEqualTo(atOnce);
		assertThat(most).isLessThanOrEqualTo(2 * atOnce + 2 * (int) Math.sqrt(atOnce) + 2);
	}

	// The upstream becomes ten times slower for its work, as with longer prompts, without
	// being overloaded. A baseline of better days would throttle it for ever.
	@Test
	void learnsThatTheWorkHasChanged() {
		ConcurrencyLimit limit = underLoad(ConcurrencyLimit.between(1, MAXIMUM), 32, 10, 100);
		limit = underLoad(limit, 32, 100, 600);
		assertThat(limit.limit()).isBetween(32, 80);
	}

	@Test
	void shrinksWhileCallsFailAndRecovers() {
		ConcurrencyLimit limit = underLoad(ConcurrencyLimit.between(2, MAXIMUM), 32, 10, 100);
		for (int call = 0; call < 2000; call++) {
			limit = limit.after(new Sample(Duration.ofSeconds(30), 0, limit.limit(), true));
		}
		assertThat(limit.limit()).isEqualTo(2);
		assertThat(underLoad(limit, 32, 10, 200).limit()).isGreaterThanOrEqualTo(32);
	}

	@Test
	void staysWhileItIsNotUsed() {
		ConcurrencyLimit limit = underLoad(ConcurrencyLimit.between(1, MAXIMUM), 32, 10, 20);
		int before = limit.limit();
		for (int call = 0; call < 20 * before; call++) {
			limit = limit.after(new Sample(Duration.ofMillis(10), WORK, 1, false));
		}
		assertThat(limit.limit()).isEqualTo(before);
	}

	@Property(tries = 200, seed = "2")
	void staysWithinItsBounds(@ForAll @IntRange(min = 1, max = 20) int minimum,
			@ForAll @IntRange(min = 0, max = 20) int more, @ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		ConcurrencyLimit limit = ConcurrencyLimit.between(minimum, minimum + more);
		for (int call = 0; call < 500; call++) {
			limit = limit.after(new Sample(Duration.ofMillis(random.nextInt(1000)), random.nextInt(50),
					1 + random.nextInt(40), random.nextInt(10) == 0));
			assertThat(limit.limit()).isBetween(minimum, minimum + more);
		}
	}

	@Test
	void aFixedLimitNeverChanges() {
		ConcurrencyLimit limit = ConcurrencyLimit.fixed(7);
		assertThat(underLoad(limit, 1, 1000, 10).limit()).isEqualTo(7);
		assertThatIllegalArgumentException().isThrownBy(() -> ConcurrencyLimit.fixed(0));
		assertThatIllegalArgumentException().isThrownBy(() -> ConcurrencyLimit.between(3, 2));
	}

	private static ConcurrencyLimit underLoad(ConcurrencyLimit start, int atOnce, int millis, int rounds) {
		ConcurrencyLimit limit = start;
		for (int round = 0; round < rounds; round++) {
			int running = limit.limit();
			Duration duration = Duration.ofNanos(millis * 1_000_000L * Math.max(running, atOnce) / atOnce);
			for (int call = 0; call < running; call++) {
				limit = limit.after(new Sample(duration, WORK, running, false));
			}
		}
		return limit;
	}

	private static boolean isProbing(ConcurrencyLimit limit) {
		return limit instanceof ConcurrencyLimit.Adaptive adaptive && adaptive.phase() == ConcurrencyLimit.Phase.PROBE;
	}

}
