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

	// The upstream's latency rises beyond a fixed concurrency. Under sustained load the
	// limit must stay near that concurrency: a lower one leaves the upstream idle, a much
	// higher one queues calls inside it.
	@Property(tries = 100, seed = "1")
	void convergesToTheConcurrencyOfTheUpstream(@ForAll @IntRange(min = 2, max = 64) int concurrency,
			@ForAll @IntRange(min = 1, max = 100) int millis) {
		ConcurrencyLimit limit = applyLoad(ConcurrencyLimit.between(1, MAXIMUM), concurrency, millis, 400);
		int lowest = MAXIMUM;
		int highest = 0;
		for (int round = 0; round < 200; round++) {
			limit = applyLoad(limit, concurrency, millis, 1);
			if (!isProbing(limit)) {
				lowest = Math.min(lowest, limit.limit());
				highest = Math.max(highest, limit.limit());
			}
		}
		assertThat(lowest).isGreaterThanOrEqualTo(concurrency);
		assertThat(highest).isLessThanOrEqualTo(2 * concurrency + 2 * (int) Math.sqrt(concurrency) + 2);
	}

	// The upstream's work becomes ten times slower without overload. An outdated baseline
	// would throttle it permanently.
	@Test
	void adaptsToChangedWork() {
		ConcurrencyLimit limit = applyLoad(ConcurrencyLimit.between(1, MAXIMUM), 32, 10, 100);
		limit = applyLoad(limit, 32, 100, 600);
		assertThat(limit.limit()).isBetween(32, 80);
	}

	@Test
	void shrinksWhileCallsFailAndRecovers() {
		ConcurrencyLimit limit = applyLoad(ConcurrencyLimit.between(2, MAXIMUM), 32, 10, 100);
		for (int call = 0; call < 2000; call++) {
			limit = limit.after(new Sample(Duration.ofSeconds(30), 0, limit.limit(), true));
		}
		assertThat(limit.limit()).isEqualTo(2);
		assertThat(applyLoad(limit, 32, 10, 200).limit()).isGreaterThanOrEqualTo(32);
	}

	@Test
	void doesNotGrowWhileUnused() {
		ConcurrencyLimit limit = applyLoad(ConcurrencyLimit.between(1, MAXIMUM), 32, 10, 20);
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
	void keepsAFixedLimit() {
		ConcurrencyLimit limit = ConcurrencyLimit.fixed(7);
		assertThat(applyLoad(limit, 1, 1000, 10).limit()).isEqualTo(7);
		assertThatIllegalArgumentException().isThrownBy(() -> ConcurrencyLimit.fixed(0));
		assertThatIllegalArgumentException().isThrownBy(() -> ConcurrencyLimit.between(3, 2));
	}

	private static ConcurrencyLimit applyLoad(ConcurrencyLimit start, int concurrency, int millis, int rounds) {
		ConcurrencyLimit limit = start;
		for (int round = 0; round < rounds; round++) {
			int running = limit.limit();
			Duration duration = Duration.ofNanos(millis * 1_000_000L * Math.max(running, concurrency) / concurrency);
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
