package io.lentilslip.core.quota;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
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

	// Guards against a permit that expired recently and makes the count of earlier ones
	// recent.
	@Test
	void permitsThatExpiredEarlierAreNotRefundedWithALaterOne() {
		Permits permits = new Permits();
		permits.add("a", 2, 0);
		assertThat(permits.acquire(1100)).isEmpty();
		permits.add("a", 1, 300);
		assertThat(permits.takeExpired("a", 1400)).isOne();
	}

	// Guards against a released permit that makes the count of expired ones recent.
	@Test
	void releasedPermitDoesNotExtendTheTimeOfRefunds() {
		Permits permits = new Permits();
		permits.add("a", 2, 0);
		assertThat(permits.acquire(1100)).isEmpty();
		permits.release(2150, 1200);
		assertThat(permits.takeExpired("a", 1400)).isZero();
	}

	// Guards against refunds that count in a later window than their grants.
	@Property(seed = "6417")
	void refundsAreOfRecentlyExpiredPermitsOnly(@ForAll @Size(max = 40) List<@IntRange(max = 99) Integer> steps) {
		Permits permits = new Permits();
		List<Long> unclaimed = new ArrayList<>();
		long now = 0;
		for (int step : steps) {
			now += step * 8L;
			switch (step % 4) {
				case 0 -> {
					permits.add("a", 1, now);
					unclaimed.add(Permits.expiry(now));
				}
				case 1 -> permits.acquire(now).ifPresent((expiresAt) -> unclaimed.remove((Long) expiresAt));
				case 2 -> permits.release(Permits.expiry(now), now);
				default -> {
					long at = now;
					long recent = unclaimed.stream()
						.filter((expiresAt) -> expiresAt <= at && at - expiresAt < 250)
						.count();
					assertThat((long) permits.takeExpired("a", now)).isEqualTo(recent);
					unclaimed.removeIf((expiresAt) -> expiresAt <= at);
				}
			}
		}
	}

}
