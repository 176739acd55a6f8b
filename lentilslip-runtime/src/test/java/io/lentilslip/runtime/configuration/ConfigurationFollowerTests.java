package io.lentilslip.runtime.configuration;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.notice.NoticeField;
import io.lentilslip.runtime.LogFixture;
import io.lentilslip.runtime.RecordingContext;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.standin.http.Availability;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class ConfigurationFollowerTests {

	private static final VmName PEER = new VmName("entry-1");

	private static final UUID FIRST = new UUID(0, 1);

	private static final UUID SECOND = new UUID(0, 2);

	private static final UUID THIRD = new UUID(0, 3);

	private final BlockingQueue<PublishedVersion> accepted = new LinkedBlockingQueue<>();

	private final RecordingContext recording = new RecordingContext();

	@Test
	void versionsComeIntoForceInTheirOrder() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			publish(log, -1, FIRST, Sources.valid("one"));
			publish(log, 0, SECOND, Sources.valid("two"));
			follower.start();
			assertNext(0, "one");
			assertNext(1, "two");
			assertThat(follower.newest()).map(PublishedVersion::version).contains(1L);
		}
	}

	// Two operators publish from version 0 at once, and the first also repeats an append
	// whose answer was lost. One change takes effect, the second operator's is void, and
	// nobody is warned of the repeated copy.
	@Test
	void ofTwoOperatorsOneWinsAndARepeatedCopyIsVoid() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			publish(log, -1, FIRST, Sources.valid("one"));
			publish(log, 0, SECOND, Sources.valid("two"));
			publish(log, 0, SECOND, Sources.valid("two"));
			publish(log, 0, THIRD, Sources.valid("three"));
			publish(log, 1, FIRST, Sources.valid("four"));
			follower.start();
			assertNext(0, "one");
			assertNext(1, "two");
			assertNext(4, "four");
			assertThat(this.recording.codes()).containsExactly(NoticeCode.CONFIGURATION_ACCEPTED,
					NoticeCode.CONFIGURATION_ACCEPTED, NoticeCode.CONFIGURATION_SUPERSEDED,
					NoticeCode.CONFIGURATION_ACCEPTED);
		}
	}

	// Someone appends a record with a fault in it, past the check of the command. Each
	// process refuses it with file and line and goes on with the version before; the
	// next publication is made from the faulty one.
	@Test
	void invalidVersionIsRefusedAndTheOneBeforeStays() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			publish(log, -1, FIRST, Sources.valid("one"));
			publish(log, 0, SECOND, Sources.invalid());
			publish(log, 1, THIRD, Sources.valid("three"));
			follower.start();
			assertNext(0, "one");
			assertNext(2, "three");
			assertThat(this.recording.notices())
				.filteredOn((notice) -> notice.code() == NoticeCode.CONFIGURATION_REFUSED)
				.singleElement()
				.satisfies((notice) -> {
					assertThat(value(notice, FieldName.FILE)).isEqualTo("10-base.ini");
					assertThat(value(notice, FieldName.LINE)).isEqualTo("6");
				});
		}
	}

	@Test
	void unreadableRecordIsSkipped() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			log.append(LogStreams.CONFIGURATION, new byte[] { 1, 2, 3 });
			publish(log, -1, FIRST, Sources.valid("one"));
			follower.start();
			assertNext(1, "one");
			assertThat(this.recording.codes()).startsWith(NoticeCode.CONFIGURATION_REFUSED);
		}
	}

	// The process starts while the log is down. It takes the version of a peer, refuses
	// an older one of another peer, and once the log is back goes on after that version:
	// it never falls back to version 0, which the log still holds.
	@Test
	void peerGivesTheNewestWhileTheLogIsDown() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			publish(log, -1, FIRST, Sources.valid("one"));
			publish(log, 0, SECOND, Sources.valid("two"));
			publish(log, 1, THIRD, Sources.valid("three"));
			log.setAvailability(new Availability.Refusing());
			follower.start();
			Body one = Body.of(Sources.record(-1, FIRST, Sources.valid("one")));
			Body two = Body.of(Sources.record(0, SECOND, Sources.valid("two")));
			assertThat(follower.offer(PEER, 1, two)).isTrue();
			assertThat(follower.offer(PEER, 0, one)).isFalse();
			log.setAvailability(new Availability.Up());
			assertNext(1, "two");
			assertNext(2, "three");
		}
	}

	// Records have passed retention, and the one that is left was made from a version
	// among them: whether another came in between, the log no longer tells. The process
	// doesn't guess and doesn't take an empty configuration, but waits for a peer.
	@Test
	void recordWhoseBasePassedRetentionWaitsForAPeer() throws InterruptedException {
		try (LogFixture log = LogFixture.keeping(1); ConfigurationFollower follower = follower(log)) {
			publish(log, -1, FIRST, Sources.valid("one"));
			publish(log, -1, SECOND, Sources.valid("two"));
			publish(log, 0, THIRD, Sources.valid("three"));
			follower.start();
			while (!this.recording.codes().contains(NoticeCode.CONFIGURATION_GAP)) {
				Thread.onSpinWait();
			}
			assertThat(follower.newest()).isEmpty();
			assertThat(follower.offer(PEER, 2, Body.of(Sources.record(0, THIRD, Sources.valid("three"))))).isTrue();
			publish(log, 2, FIRST, Sources.valid("four"));
			assertNext(2, "three");
			assertNext(3, "four");
		}
	}

	@Test
	void forgedOfferIsRefused() {
		try (LogFixture log = LogFixture.start(); ConfigurationFollower follower = follower(log)) {
			assertThat(follower.offer(PEER, 7, Body.of("forged"))).isFalse();
			assertThat(follower.offer(PEER, 7, Body.of(Sources.record(0, FIRST, Sources.invalid())))).isFalse();
			assertThat(follower.newest()).isEmpty();
			assertThat(this.recording.codes()).containsOnly(NoticeCode.CONFIGURATION_REFUSED);
		}
	}

	private ConfigurationFollower follower(LogFixture log) {
		return new ConfigurationFollower(log.client(), this.accepted::add, this.recording.context());
	}

	private static void publish(LogFixture log, long base, UUID publication, ConfigurationSource source) {
		log.append(LogStreams.CONFIGURATION, Sources.record(base, publication, source));
	}

	private void assertNext(long version, String site) throws InterruptedException {
		PublishedVersion next = this.accepted.take();
		assertThat(next.version()).isEqualTo(version);
		assertThat(next.configuration().site().value()).isEqualTo(site);
	}

	private static String value(Notice notice, FieldName name) {
		List<NoticeField> fields = notice.fields().stream().filter((field) -> field.name() == name).toList();
		return fields.getFirst().value();
	}

}
