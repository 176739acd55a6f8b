package io.lentilslip.runtime.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.runtime.LogFixture;
import io.lentilslip.runtime.RecordingContext;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.wire.codec.LedgerCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class GroupCommitterTests {

	private final BlockingQueue<LogEvent> events = new LinkedBlockingQueue<>();

	private final RecordingContext recording = new RecordingContext();

	@Test
	void recordsThatWaitShareOneAppend() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); GroupCommitter committer = committer(log, 10)) {
			appendAll(committer, "a", "b", "c");
			committer.start();
			assertThat(next(3)).containsExactly(ended(0, AppendResult.APPENDED), ended(1, AppendResult.APPENDED),
					ended(2, AppendResult.APPENDED));
			assertThat(log.batches()).containsExactly(records("a", "b", "c"));
		}
	}

	@Test
	void batchTakesNoMoreThanItsBytes() throws InterruptedException {
		List<String> names = new ArrayList<>();
		int perRecord = LedgerCodec.encode(records("p0000")).length;
		int count = GroupCommitter.BATCH_BYTES / perRecord + 1;
		for (int number = 0; number < count; number++) {
			names.add("p%04d".formatted(number));
		}
		try (LogFixture log = LogFixture.start(); GroupCommitter committer = committer(log, names.size())) {
			appendAll(committer, names.toArray(String[]::new));
			committer.start();
			next(names.size());
			List<List<LedgerRecord>> batches = log.batches();
			assertThat(batches).hasSizeGreaterThan(1);
			assertThat(batches.stream().flatMap(List::stream).toList())
				.isEqualTo(records(names.toArray(String[]::new)));
		}
	}

	// The log stores a batch, and its answer is lost. Each record of the batch ends as
	// "unknown" and none is sent again: whether a second copy does harm, only the reducer
	// knows. What waits behind is appended.
	@Test
	void lostAnswerLeavesTheWholeBatchUnknown() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); GroupCommitter committer = committer(log, 10)) {
			log.standIn().loseAnswers(1);
			appendAll(committer, "a", "b");
			committer.start();
			assertThat(next(2)).containsExactly(ended(0, AppendResult.UNKNOWN), ended(1, AppendResult.UNKNOWN));
			committer.append(new NodeEffect.AppendRecord(new AppendId(2), LedgerRecords.ended("c")));
			assertThat(next(1)).containsExactly(ended(2, AppendResult.APPENDED));
			assertThat(log.batches()).containsExactly(records("a", "b"), records("c"));
			assertThat(this.recording.codes()).containsExactly(NoticeCode.APPEND_UNKNOWN);
			assertThat(this.recording.measurements()).filteredOn(Measurement.LogAppend.class::isInstance)
				.extracting((measurement) -> ((Measurement.LogAppend) measurement).outcome())
				.containsExactly(Measurement.LogAppend.Outcome.UNKNOWN, Measurement.LogAppend.Outcome.APPENDED);
		}
	}

	@Test
	void refusedAppendIsSurelyNotInTheLog() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); GroupCommitter committer = committer(log, 10)) {
			log.setAvailability(new Availability.Refusing());
			appendAll(committer, "a");
			committer.start();
			assertThat(next(1)).containsExactly(ended(0, AppendResult.NOT_APPENDED));
			log.setAvailability(new Availability.Up());
			assertThat(log.batches()).isEmpty();
		}
	}

	@Test
	void recordPastTheBoundEndsAtOnce() throws InterruptedException {
		try (LogFixture log = LogFixture.start(); GroupCommitter committer = committer(log, 1)) {
			appendAll(committer, "a", "b");
			assertThat(next(1)).containsExactly(ended(1, AppendResult.NOT_APPENDED));
			committer.start();
			assertThat(next(1)).containsExactly(ended(0, AppendResult.APPENDED));
		}
	}

	private GroupCommitter committer(LogFixture log, int bound) {
		return new GroupCommitter(log.client(), bound, this.events::add, this.recording.context());
	}

	private static void appendAll(GroupCommitter committer, String... programs) {
		for (int number = 0; number < programs.length; number++) {
			committer.append(new NodeEffect.AppendRecord(new AppendId(number), LedgerRecords.ended(programs[number])));
		}
	}

	private static List<LedgerRecord> records(String... programs) {
		return List.of(programs).stream().map(LedgerRecords::ended).toList();
	}

	private static LogEvent ended(long append, AppendResult result) {
		return new LogEvent.AppendEnded(new AppendId(append), result, RecordingContext.NOW);
	}

	private List<LogEvent> next(int count) throws InterruptedException {
		List<LogEvent> taken = new ArrayList<>();
		while (taken.size() < count) {
			taken.add(this.events.take());
		}
		return taken;
	}

}
