package io.lentilslip.runtime.configuration;

import java.util.UUID;

import io.lentilslip.runtime.LogFixture;
import io.lentilslip.runtime.configuration.ConfigurationLookup.Outcome;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.standin.http.Availability;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class ConfigurationLookupTests {

	private static Outcome find(LogFixture log) throws InterruptedException {
		return new ConfigurationLookup(log.client()).find();
	}

	private static void append(LogFixture log, long base, String site) {
		log.append(LogStreams.CONFIGURATION, Sources.record(base, UUID.randomUUID(), Sources.valid(site)));
	}

	@Test
	void recordsThatLostAreNotInForce() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			append(log, -1, "one");
			append(log, 0, "two");
			append(log, 0, "late");
			assertThat(find(log)).isInstanceOfSatisfying(Outcome.InForce.class, (found) -> {
				assertThat(found.version().version()).isEqualTo(1);
				assertThat(found.head()).isEqualTo(1);
				assertThat(found.version().configuration().site()).hasToString("two");
			});
		}
	}

	// A record that took effect in the log's order has problems, so that every process
	// keeps the one before it. The operator sees that one, and where to publish from.
	@Test
	void refusedVersionIsTheHeadButNotInForce() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			append(log, -1, "one");
			log.append(LogStreams.CONFIGURATION, Sources.record(0, UUID.randomUUID(), Sources.invalid()));
			assertThat(find(log)).isInstanceOfSatisfying(Outcome.InForce.class, (found) -> {
				assertThat(found.version().version()).isZero();
				assertThat(found.head()).isEqualTo(1);
			});
		}
	}

	// The log has dropped the record before the one it holds. Whether that one took
	// effect can't be told, and an older or an empty answer would be wrong.
	@Test
	void recordsThatPassedRetentionLeaveItOpen() throws InterruptedException {
		try (LogFixture log = LogFixture.keeping(1)) {
			append(log, -1, "one");
			append(log, -1, "two");
			assertThat(find(log)).isEqualTo(new Outcome.PassedRetention());
		}
	}

	@Test
	void emptyLogIsToldApartFromOneThatIsDown() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			assertThat(find(log)).isEqualTo(new Outcome.NothingPublished());
			log.setAvailability(new Availability.Refusing());
			assertThat(find(log)).isInstanceOf(Outcome.Unavailable.class);
		}
	}

}
