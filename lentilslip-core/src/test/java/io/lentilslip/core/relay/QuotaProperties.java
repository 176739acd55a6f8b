package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.lentilslip.core.quota.Quota;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Quotas across relays that are killed, paused and restarted.
 */
class QuotaProperties {

	private static final String TEAM = "team";

	// Guards against exceeding the quota when coordinators fail and new ones start with
	// initial permits.
	@Property(tries = 200, seed = "4731")
	void noWindowExceedsTheQuota(@ForAll @IntRange(min = 1, max = 12) int relays,
			@ForAll @IntRange(min = 1, max = 60) int rate, @ForAll long seed) {
		Random random = new Random(seed);
		Quota quota = new Quota(rate, random.nextInt(rate + 1));
		QuotaSite site = QuotaSite.of(relays, Map.of(TEAM, quota), random);
		load(site, random, 4.0 * rate, 15);
		for (int fault = 0; fault < 3; fault++) {
			Duration after = Duration.ofMillis(random.nextInt(12_000));
			Duration time = Duration.ofMillis(300 + random.nextInt(4000));
			if (random.nextBoolean()) {
				site.kill(random.nextInt(relays), after, time);
			}
			else {
				site.pause(random.nextInt(relays), after, time);
			}
		}
		site.run(Duration.ofSeconds(20));
		assertThat((double) site.maxInWindow(TEAM)).isLessThanOrEqualTo(QuotaSite.TOLERANCE.windowLimit(quota));
		assertThat(site.completed(TEAM)).hasSizeGreaterThan(rate * 5);
	}

	// Guards against splitting a quota between relays: each share would be less than one
	// request.
	@Property(tries = 50, seed = "4732")
	void smallTeamWithinItsQuotaIsNotRejected(@ForAll long seed) {
		Random random = new Random(seed);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(2, 2)), random);
		load(site, random, 1.25, 30);
		site.run(Duration.ofSeconds(35));
		assertThat(site.rejected(TEAM)).isEmpty();
	}

	@Property(tries = 20, seed = "4733")
	void largeTeamWithinItsQuotaIsNotRejected(@ForAll long seed) {
		Random random = new Random(seed);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(160, 160)), random);
		load(site, random, 100, 20);
		site.run(Duration.ofSeconds(25));
		assertThat(site.rejected(TEAM)).isEmpty();
	}

	// Guards against decisions that involve every relay.
	@Test
	void messagesPerRequestDoNotGrowWithTheNumberOfRelays() {
		for (int relays : new int[] { 7, 30, 300 }) {
			Random random = new Random(relays);
			QuotaSite site = QuotaSite.of(relays, Map.of(TEAM, new Quota(100, 100)), random);
			load(site, random, 50, 20);
			site.run(Duration.ofSeconds(25));
			assertThat(site.messages()).isLessThanOrEqualTo(2 * site.requests());
		}
	}

	// A team at five times its quota completes some programs, instead of parts of all.
	@Test
	void teamOverItsQuotaCompletesPrograms() {
		Random random = new Random(5);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(30, 30)), random);
		int requests = 15;
		int programs = 200;
		for (int program = 0; program < programs; program++) {
			site.program(TEAM, "p" + program, requests, Duration.ofMillis(300),
					Duration.ofMillis(random.nextInt(20_000)));
		}
		site.run(Duration.ofSeconds(30));
		assertThat(site.completedPrograms(requests)).isGreaterThan(programs / 8);
	}

	private static void load(QuotaSite site, Random random, double perSecond, int seconds) {
		int requests = (int) (perSecond * seconds);
		for (int i = 0; i < requests; i++) {
			site.request(TEAM, "p" + i / 8, Duration.ofMillis(random.nextInt(seconds * 1000)));
		}
	}

	@Test
	void teamWithoutAQuotaSendsNoPermitRequests() {
		QuotaSite site = QuotaSite.of(7, Map.of("other", new Quota(1, 1)), new Random(1));
		assertThat(List.of(site.messages(), site.requests())).containsOnly(0L);
	}

}
