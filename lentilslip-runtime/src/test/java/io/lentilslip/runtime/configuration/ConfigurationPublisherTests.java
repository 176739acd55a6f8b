package io.lentilslip.runtime.configuration;

import java.util.UUID;

import io.lentilslip.client.log.LogService;
import io.lentilslip.runtime.LogFixture;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.standin.http.Availability;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class ConfigurationPublisherTests {

	private static final UUID MINE = new UUID(0, 1);

	private static final UUID RIVAL = new UUID(0, 2);

	private static final String STREAM = LogStreams.CONFIGURATION.value();

	@Test
	void publicationIsWonAtItsOffset() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			assertThat(publish(log.client(), new Base.Version(-1))).isEqualTo(new PublicationOutcome.Won(0));
			assertThat(publisher(log.client()).publish(Sources.valid("two"), new Base.Newest(), RIVAL))
				.isEqualTo(new PublicationOutcome.Won(1));
		}
	}

	// Another operator publishes from the same base between this one's look at the log
	// and its append. The other one's change stays; this one is told by which version.
	@Test
	void rivalThatComesFirstWins() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			LogService raced = log.beforeFirstAppend(() -> appendRival(log, -1));
			assertThat(publish(raced, new Base.Version(-1))).isEqualTo(new PublicationOutcome.LostTo(0));
		}
	}

	@Test
	void staleBaseIsToldWithoutAnAppend() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			appendRival(log, -1);
			assertThat(publish(log.client(), new Base.Version(-1))).isEqualTo(new PublicationOutcome.LostTo(0));
			assertThat(log.standIn().next(STREAM)).isEqualTo(1);
		}
	}

	// The log stores the publication and its answer is lost. The operator is told that
	// it took effect, since the log is read for it; it isn't appended again.
	@Test
	void lostAnswerIsFoundInTheLog() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			log.standIn().loseAnswers(1);
			assertThat(publish(log.client(), new Base.Version(-1))).isEqualTo(new PublicationOutcome.Won(0));
			assertThat(log.standIn().next(STREAM)).isEqualTo(1);
		}
	}

	// The operator repeats a publication that had taken effect, under its identity. It
	// counts once and is told as won, not as lost to itself.
	@Test
	void repeatedPublicationCountsOnce() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			publish(log.client(), new Base.Version(-1));
			assertThat(publish(log.client(), new Base.Version(-1))).isEqualTo(new PublicationOutcome.Won(0));
			assertThat(log.standIn().next(STREAM)).isEqualTo(1);
		}
	}

	@Test
	void refusingLogHasNoCopy() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			LogService refused = log.beforeFirstAppend(() -> log.setAvailability(new Availability.Refusing()));
			assertThat(publish(refused, new Base.Version(-1))).isInstanceOf(PublicationOutcome.NotPublished.class);
			assertThat(log.standIn().next(STREAM)).isZero();
		}
	}

	// The answer is lost and the log goes down before it can be read. The operator isn't
	// told of a failure that may not be one; the same command later finds the truth.
	@Test
	void unreadableLogLeavesTheOutcomeUnknown() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			LogService dropped = log.beforeFirstAppend(() -> log.setAvailability(new Availability.Dropping()));
			assertThat(publish(dropped, new Base.Version(-1))).isInstanceOfSatisfying(PublicationOutcome.Unknown.class,
					(unknown) -> assertThat(unknown.publication()).isEqualTo(MINE));
			log.setAvailability(new Availability.Up());
			assertThat(publish(log.client(), new Base.Version(-1))).isEqualTo(new PublicationOutcome.Won(0));
		}
	}

	@Test
	void invalidFilesAreNotSent() throws InterruptedException {
		try (LogFixture log = LogFixture.start()) {
			assertThat(publisher(log.client()).publish(Sources.invalid(), new Base.Newest(), MINE))
				.isInstanceOfSatisfying(PublicationOutcome.Invalid.class,
						(invalid) -> assertThat(invalid.problems()).hasSize(1));
			assertThat(log.standIn().next(STREAM)).isZero();
		}
	}

	// All records have passed retention, so nobody can tell the version in force from the
	// log. A publication over "whatever is newest" takes effect everywhere, whichever
	// version the processes have.
	@Test
	void newestCanBePublishedOverRecordsThatAreGone() throws InterruptedException {
		try (LogFixture log = LogFixture.keeping(1)) {
			appendRival(log, -1);
			appendRival(log, -1);
			assertThat(publish(log.client(), new Base.Newest())).isEqualTo(new PublicationOutcome.Won(2));
		}
	}

	private static PublicationOutcome publish(LogService log, Base base) throws InterruptedException {
		return publisher(log).publish(Sources.valid("one"), base, MINE);
	}

	private static ConfigurationPublisher publisher(LogService log) {
		return new ConfigurationPublisher(log, () -> 1, (duration) -> {
		});
	}

	private static void appendRival(LogFixture log, long base) {
		log.append(LogStreams.CONFIGURATION, Sources.record(base, RIVAL, Sources.valid("rival")));
	}

}
