package io.lentilslip.standin.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class RateLimitTests {

	private static final int PER_SECOND = 10;

	// Requests come at arbitrary moments. Over any stretch from the start, no
	// more are let through than one full bucket and what the time brought.
	@Property(tries = 200, seed = "7905568731682601008")
	void neverLetsMoreThroughThanTheRate(@ForAll @Size(max = 100) List<@IntRange(max = 300) Integer> pausesInMillis) {
		AtomicLong nanos = new AtomicLong();
		RateLimit limit = new RateLimit(PER_SECOND, nanos::get);
		int taken = 0;
		for (int pause : pausesInMillis) {
			nanos.addAndGet(Duration.ofMillis(pause).toNanos());
			if (limit.take().isEmpty()) {
				taken++;
			}
			long brought = nanos.get() * PER_SECOND / Duration.ofSeconds(1).toNanos();
			assertThat(taken).isLessThanOrEqualTo((int) (PER_SECOND + brought));
		}
	}

	@Property(tries = 50, seed = "-7146799129507685812")
	void aTokenIsThereAfterTheTimeStated(@ForAll @IntRange(min = 1, max = 1000) int perSecond) {
		AtomicLong nanos = new AtomicLong();
		RateLimit limit = new RateLimit(perSecond, nanos::get);
		for (int i = 0; i < perSecond; i++) {
			assertThat(limit.take()).isEmpty();
		}
		nanos.addAndGet(limit.take().orElseThrow().toNanos() + 1);
		assertThat(limit.take()).isEmpty();
	}

}
