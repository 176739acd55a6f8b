package io.lentilslip.runtime.log;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.runtime.LogFixture;
import io.lentilslip.runtime.RecordingContext;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.wire.codec.LedgerCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class LogFollowerTests {

	private final BlockingQueue<LogEvent> events = new LinkedBlockingQueue<>();

	private final RecordingContext recording = new RecordingContext();

	@Test
	void recordsArriveInTheirOrderAndLaterOnesWhenTheyAreAppended() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); LogFollower follower = follower(log)) {
			append(log, "a");
			append(log, "b");
			follower.start();
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 0, LedgerRecords.ended("a")));
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 1, LedgerRecords.ended("b")));
			assertThat(this.events.take()).isEqualTo(new LogEvent.CaughtUp(2, RecordingContext.NOW));
			append(log, "c");
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 2, LedgerRecords.ended("c")));
			assertThat(this.recording.codes()).isEmpty();
		}
	}

	// The process starts when all but the last two records have passed retention. It
	// learns from where on it knows the log, and an operator isn't warned of what is
	// usual.
	@Test
	void startsAtTheFirstKeptRecord() throws InterruptedException {
		try (LogFixture log = LogFixture.keeping(2); LogFollower follower = follower(log)) {
			for (String program : List.of("a", "b", "c", "d", "e")) {
				append(log, program);
			}
			follower.start();
			assertThat(this.events.take()).isEqualTo(new LogEvent.GapDetected(0, 3, RecordingContext.NOW));
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 3, LedgerRecords.ended("d")));
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 4, LedgerRecords.ended("e")));
			assertThat(this.events.take()).isEqualTo(new LogEvent.CaughtUp(5, RecordingContext.NOW));
			assertThat(this.recording.codes()).isEmpty();
		}
	}

	// The log is gone for so long that records pass retention before the process reads
	// them. It is told of the gap instead of taking the next record for the one after the
	// last, and the operator is warned.
	@Test
	void gapBehindReadRecordsIsReported() throws InterruptedException {
		try (LogFixture log = LogFixture.keeping(1);
				LogFollower follower = new LogFollower(log.withShortReads(), this.events::put,
						this.recording.context((duration) -> refill(log)))) {
			append(log, "a");
			follower.start();
			assertThat(this.events.take()).isInstanceOf(LogEvent.BatchRead.class);
			assertThat(this.events.take()).isInstanceOf(LogEvent.CaughtUp.class);
			log.setAvailability(new Availability.Refusing());
			LogEvent event = this.events.take();
			while (!(event instanceof LogEvent.Unreachable)) {
				event = this.events.take();
			}
			assertThat(this.events.take()).isEqualTo(new LogEvent.GapDetected(1, 3, RecordingContext.NOW));
			assertThat(this.events.take()).satisfies((last) -> assertBatch(last, 3, LedgerRecords.ended("d")));
			assertThat(this.recording.codes()).containsExactly(NoticeCode.LOG_UNAVAILABLE, NoticeCode.LOG_BACK,
					NoticeCode.RETENTION_GAP);
		}
	}

	// Bytes of another writer stand in the stream. All processes count them as an empty
	// batch; the records behind keep their offsets, and homes stay the same everywhere.
	@Test
	void unreadableRecordCountsAsEmpty() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); LogFollower follower = follower(log)) {
			log.append(LogStreams.PROGRAMS, new byte[] { 1, 2, 3 });
			append(log, "a");
			follower.start();
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 0));
			assertThat(this.events.take()).satisfies((event) -> assertBatch(event, 1, LedgerRecords.ended("a")));
			assertThat(this.recording.codes()).containsExactly(NoticeCode.LOG_RECORD_UNREADABLE);
		}
	}

	private LogFollower follower(LogFixture log) {
		return new LogFollower(log.client(), this.events::put, this.recording.context());
	}

	private static void refill(LogFixture log) {
		log.setAvailability(new Availability.Up());
		for (String program : List.of("b", "c", "d")) {
			append(log, program);
		}
	}

	private static void append(LogFixture log, String program) {
		log.append(LogStreams.PROGRAMS, LedgerCodec.encode(List.of(LedgerRecords.ended(program))));
	}

	private static void assertBatch(LogEvent event, long offset, LedgerRecord... records) {
		assertThat(event).isInstanceOfSatisfying(LogEvent.BatchRead.class, (read) -> {
			assertThat(read.offset()).isEqualTo(offset);
			assertThat(read.batch()).containsExactly(records);
		});
	}

}
