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
 * Quotas that relays count together while they are killed, freeze and start again.
 */
class QuotaProperties {

	private static final String TEAM = "team";

	// A team sends several times its quota while relays that count for it are lost, and
	// each begins to count anew.
	@Property(tries = 200, seed = "4731")
	void noWindowRunsMoreThanTheQuotaAllows(@ForAll @IntRange(min = 1, max = 12) int relays,
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
				site.freeze(random.nextInt(relays), after, time);
			}
		}
		site.run(Duration.ofSeconds(20));
		assertThat((double) site.mostInWindow(TEAM)).isLessThanOrEqualTo(QuotaSite.TOLERANCE.bound(quota));
		assertThat(site.ran(TEAM)).hasSizeGreaterThan(rate * 5);
	}

	// Teams of a request or two a second over thirty relays: a part for each relay is
	// less than one request.
	@Property(tries = 50, seed = "4732")
	void smallTeamWithinItsQuotaIsNotRefused(@ForAll long seed) {
		Random random = new Random(seed);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(2, 2)), random);
		load(site, random, 1.25, 30);
		site.run(Duration.ofSeconds(35));
		assertThat(site.refused(TEAM)).isEmpty();
	}

	@Property(tries = 20, seed = "4733")
	void largeTeamWithinItsQuotaIsNotRefused(@ForAll long seed) {
		Random random = new Random(seed);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(160, 160)), random);
		load(site, random, 100, 20);
		site.run(Duration.ofSeconds(25));
		assertThat(site.refused(TEAM)).isEmpty();
	}

	// Each relay would take part in each decision: what a request costs must not grow
	// with their number.
	@Test
	void messagesOfARequestDoNotGrowWithTheNumberOfRelays() {
		for (int relays : new int[] { 7, 30, 300 }) {
			Random random = new Random(relays);
			QuotaSite site = QuotaSite.of(relays, Map.of(TEAM, new Quota(100, 100)), random);
			load(site, random, 50, 20);
			site.run(Duration.ofSeconds(25));
			assertThat(site.messages()).isLessThanOrEqualTo(2 * site.asked());
		}
	}

	// A team that sends five times its quota is served by programs that end, not by
	// single requests of all.
	@Test
	void programsOfATeamBeyondItsQuotaAreServedWhole() {
		Random random = new Random(5);
		QuotaSite site = QuotaSite.of(30, Map.of(TEAM, new Quota(30, 30)), random);
		int requests = 15;
		int programs = 200;
		for (int program = 0; program < programs; program++) {
			site.program(TEAM, "p" + program, requests, Duration.ofMillis(300),
					Duration.ofMillis(random.nextInt(20_000)));
		}
		site.run(Duration.ofSeconds(30));
		assertThat(site.whole(requests)).isGreaterThan(programs / 8);
	}

	private static void load(QuotaSite site, Random random, double perSecond, int seconds) {
		int requests = (int) (perSecond * seconds);
		for (int i = 0; i < requests; i++) {
			site.request(TEAM, "p" + i / 8, Duration.ofMillis(random.nextInt(seconds * 1000)));
		}
	}

	@Test
	void teamWithoutAQuotaAsksNobody() {
		QuotaSite site = QuotaSite.of(7, Map.of("other", new Quota(1, 1)), new Random(1));
		assertThat(List.of(site.messages(), site.asked())).containsOnly(0L);
	}

}
