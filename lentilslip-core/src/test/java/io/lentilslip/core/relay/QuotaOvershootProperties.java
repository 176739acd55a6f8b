package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Random;

import io.lentilslip.core.quota.Quota;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are both sent and run in one window, while messages are late or lost and
 * coordinators change.
 */
class QuotaOvershootProperties {

	private static final String TEAM = "team";

	private static final int SECONDS = 20;

	// Guards against two coordinators that both grant the full rate because replies of
	// the first one are late.
	@Property(tries = 60, seed = "6411")
	void slowRelaysDoNotExceedTheQuota(@ForAll long seed) {
		Trial trial = new Trial(seed);
		for (int fault = 0; fault < 6; fault++) {
			trial.disturb(0);
		}
		trial.assertWithinQuota();
	}

	// Guards against refunds of permits that expired before the bucket was full again.
	@Property(tries = 60, seed = "6412")
	void floodAfterLowLoadDoesNotExceedTheQuota(@ForAll long seed) {
		new Trial(seed).assertWithinQuota();
	}

	// Guards against a bucket that refills while another relay coordinates the team.
	@Property(tries = 60, seed = "6413")
	void membershipChangesDoNotExceedTheQuota(@ForAll long seed) {
		Trial trial = new Trial(seed);
		for (int fault = 0; fault < 4; fault++) {
			trial.exclude();
		}
		trial.assertWithinQuota();
	}

	// Guards against unused permits of requests that were not sent.
	@Property(tries = 60, seed = "6414")
	void requestsThatWereNotSentDoNotExceedTheQuota(@ForAll long seed) {
		Trial trial = new Trial(seed);
		trial.stopUpstreams();
		trial.assertWithinQuota();
	}

	@Property(tries = 60, seed = "6415")
	void changeOfTheQuotaDoesNotExceedTheLargerOne(@ForAll long seed) {
		Trial trial = new Trial(seed);
		trial.changeQuota();
		trial.assertWithinQuota();
	}

	// Guards against allowances that exceed the tolerance in sum.
	@Property(tries = 100, seed = "6416")
	void combinedFailuresDoNotExceedTheQuota(@ForAll long seed) {
		Trial trial = new Trial(seed);
		trial.disturb(0.3);
		trial.disturb(0);
		trial.exclude();
		trial.kill();
		trial.pause();
		trial.stopUpstreams();
		trial.changeQuota();
		trial.assertWithinQuota();
	}

	/**
	 * Team with a low load and then one of several times its quota. Not thread-safe.
	 */
	private static final class Trial {

		private final Random random;

		private final int relays;

		private final Quota quota;

		private final QuotaSite site;

		Trial(long seed) {
			this.random = new Random(seed);
			this.relays = 4 + this.random.nextInt(27);
			int rate = 2 + this.random.nextInt(40);
			this.quota = new Quota(rate, this.random.nextInt(2 * rate));
			this.site = QuotaSite.of(this.relays, Map.of(TEAM, this.quota), this.random);
			int flood = 3000 + this.random.nextInt(9000);
			load(rate / 1.6, 0, flood);
			load((2 + this.random.nextInt(6)) * rate, flood, SECONDS * 1000);
		}

		private void load(double perSecond, int from, int to) {
			for (int i = 0; i < perSecond * (to - from) / 1000; i++) {
				this.site.request(TEAM, "p" + from + "-" + i / 8,
						Duration.ofMillis(from + this.random.nextInt(to - from)));
			}
		}

		void disturb(double loss) {
			this.site.disturb(relay(), start(), duration(), Duration.ofMillis(this.random.nextInt(1200)), loss);
		}

		void exclude() {
			this.site.exclude(relay(), start(), duration());
		}

		void kill() {
			this.site.kill(relay(), start(), duration());
		}

		void pause() {
			this.site.pause(relay(), start(), duration());
		}

		void stopUpstreams() {
			Duration from = start();
			this.site.upstreams(false, from);
			this.site.upstreams(true, from.plus(duration()));
		}

		void changeQuota() {
			Quota lower = new Quota(this.quota.ratePerSecond() / 2, this.quota.burst() / 2);
			Duration from = start();
			this.site.change(Map.of(TEAM, lower), from);
			this.site.change(Map.of(TEAM, this.quota), from.plus(duration()));
		}

		// The coordinators of the team are among the relays that fail.
		private int relay() {
			return this.random.nextBoolean() ? this.site.coordinator(TEAM) : this.random.nextInt(this.relays);
		}

		private Duration start() {
			return Duration.ofMillis(this.random.nextInt(SECONDS * 750));
		}

		private Duration duration() {
			return Duration.ofMillis(200 + this.random.nextInt(4000));
		}

		void assertWithinQuota() {
			this.site.run(Duration.ofSeconds(SECONDS + 5));
			assertThat((double) this.site.maxSentAndRunInWindow(TEAM))
				.isLessThanOrEqualTo(QuotaSite.TOLERANCE.windowLimit(this.quota));
		}

	}

}
