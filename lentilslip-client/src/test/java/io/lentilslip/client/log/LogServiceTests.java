package io.lentilslip.client.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.jooby.StatusCode;
import io.lentilslip.client.Endpoints;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.StandInServer;
import io.lentilslip.standin.log.LogLimits;
import io.lentilslip.standin.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogServiceTests {

	private static final StreamName STREAM = new StreamName("ledger");

	private static final Duration KEPT = Duration.ofMinutes(1);

	private final AtomicLong nanos = new AtomicLong();

	private final LogServiceStandIn standIn = LogServiceStandIn.start(StandInServer.ANY_PORT,
			LogLimits.defaults().withAppendsPerSecond(5).withRetention(4, KEPT), this.nanos::get);

	private final LogService log = new LogService.ForHttp(Endpoints.of(this.standIn.address()));

	@AfterEach
	void stop() {
		this.log.close();
		this.standIn.close();
	}

	@Test
	void readsWhatWasAppendedInItsOrder() {
		assertThat(append("a")).isEqualTo(new AppendOutcome.Appended(0));
		assertThat(append("b")).isEqualTo(new AppendOutcome.Appended(1));
		ReadOutcome.Records records = read(0, Duration.ZERO);
		assertThat(records.first()).isZero();
		assertThat(records.next()).isEqualTo(2);
		assertThat(texts(records)).containsExactly("a", "b");
		assertThat(texts(read(1, Duration.ZERO))).containsExactly("b");
	}

	@Test
	void aReadWaitsForTheNextRecord() {
		append("a");
		CompletionStage<ReadOutcome> waiting = this.log.read(STREAM, 1, 10, Duration.ofSeconds(30));
		while (this.standIn.waitingReads() == 0) {
			Thread.onSpinWait();
		}
		append("b");
		assertThat(texts((ReadOutcome.Records) join(waiting))).containsExactly("b");
	}

	@Test
	void aReadEndsEmptyAfterItsWait() {
		append("a");
		assertThat(read(1, Duration.ofMillis(5)).records()).isEmpty();
	}

	// Six records are appended and four are kept, by number. A reader that had
	// come to offset 0 gets the oldest kept and sees by "first" what it missed.
	@Test
	void aReaderBehindRetentionSeesTheGap() {
		List.of("a", "b", "c", "d", "e").forEach(this::append);
		advance(Duration.ofSeconds(1));
		append("f");
		ReadOutcome.Records records = read(0, Duration.ZERO);
		assertThat(records.first()).isEqualTo(2);
		assertThat(texts(records)).containsExactly("c", "d", "e", "f");
	}

	// All records grow too old. Their offsets must not be given out again, or
	// a reader that has seen offset 0 would take the new record for the old.
	@Test
	void offsetsGoOnAfterAllRecordsHavePassedRetention() {
		append("a");
		advance(KEPT.plusNanos(1));
		assertThat(read(0, Duration.ZERO).first()).isEqualTo(1);
		assertThat(append("b")).isEqualTo(new AppendOutcome.Appended(1));
	}

	// The log takes five appends a second. The sixth is refused, and the log
	// promises that it stored nothing, so the caller may append it again.
	@Test
	void anAppendOverTheRateIsNotAppended() {
		List.of("a", "b", "c", "d", "e").forEach(this::append);
		assertThat(append("f"))
			.isEqualTo(new AppendOutcome.NotAppended("status 429", Optional.of(Duration.ofSeconds(1))));
		assertThat(this.standIn.next(STREAM.value())).isEqualTo(5);
		advance(Duration.ofMillis(200));
		assertThat(append("f")).isEqualTo(new AppendOutcome.Appended(5));
	}

	// The log stores the record and its answer gets lost. Reported as "not
	// appended", the caller would append again and the record stand twice.
	@Test
	void anAppendWhoseAnswerIsLostIsUnknown() {
		this.standIn.loseAnswers(1);
		assertThat(append("a")).isInstanceOf(AppendOutcome.Unknown.class);
		assertThat(this.standIn.next(STREAM.value())).isEqualTo(1);
		assertThat(texts(read(0, Duration.ZERO))).containsExactly("a");
	}

	// The connection is reset before the log acts. The caller can't know that
	// it was before and not after, so the outcome is unknown here as well.
	@Test
	void anAppendThatIsDroppedIsUnknown() {
		this.standIn.setAvailability(new Availability.Dropping());
		assertThat(append("a")).isInstanceOf(AppendOutcome.Unknown.class);
		assertThat(this.standIn.next(STREAM.value())).isZero();
	}

	// The log is so slow that the append times out, and stores it only later.
	// "Not appended" would be false by the time that the record shows.
	@Test
	void anAppendThatTimesOutIsUnknownAndMayTakeEffectLater() {
		this.standIn.setAvailability(new Availability.Slow(Duration.ofMillis(400)));
		HttpLimits impatient = HttpLimits.defaults().withTimeouts(Duration.ofMillis(100), Duration.ofSeconds(20));
		try (LogService client = new LogService.ForHttp(Endpoints.of(this.standIn.address()), impatient)) {
			assertThat(join(client.append(STREAM, bytes("a")))).isInstanceOf(AppendOutcome.Unknown.class);
		}
		this.standIn.setAvailability(new Availability.Up());
		assertThat(texts(read(0, Duration.ofSeconds(20)))).containsExactly("a");
	}

	@Test
	void anAppendWhileTheLogIsDownIsNotAppended() {
		this.standIn.setAvailability(new Availability.Refusing());
		assertThat(append("a")).isEqualTo(new AppendOutcome.NotAppended("status 503", Optional.empty()));
		assertThat(join(this.log.read(STREAM, 0, 10, Duration.ZERO)))
			.isEqualTo(new ReadOutcome.Unavailable("status 503"));
	}

	@Test
	void anAppendThatCannotConnectIsNotAppended() {
		this.standIn.close();
		assertThat(append("a")).isInstanceOf(AppendOutcome.NotAppended.class);
		assertThat(join(this.log.read(STREAM, 0, 10, Duration.ZERO))).isInstanceOf(ReadOutcome.Unavailable.class);
	}

	@Test
	void aRecordTooLongIsNotAppended() {
		assertThat(join(this.log.append(STREAM, new byte[LogService.MAXIMUM_RECORD_BYTES])))
			.isInstanceOf(AppendOutcome.Appended.class);
		assertThat(join(this.log.append(STREAM, new byte[LogService.MAXIMUM_RECORD_BYTES + 1])))
			.isInstanceOf(AppendOutcome.NotAppended.class);
	}

	// A service that is not the log, or a broken one, answers. Neither an error
	// 500 nor an offset that can't be read says that nothing was stored.
	@Test
	void anAnswerThatDoesNotSettleTheAppendLeavesItUnknown() {
		AtomicInteger count = new AtomicInteger();
		try (StandInServer odd = StandInServer.start(StandInServer.ANY_PORT,
				(application, running) -> application.post("/*", (context) -> switch (count.getAndIncrement()) {
					case 0 -> context.send(StatusCode.SERVER_ERROR);
					case 1 -> context.send("{}");
					case 2 -> context.send("{\"offset\":-1}");
					default -> context.send("{\"offset\":\"x");
				})); LogService client = new LogService.ForHttp(Endpoints.of(odd.address()))) {
			for (int i = 0; i < 4; i++) {
				assertThat(join(client.append(STREAM, bytes("a")))).isInstanceOf(AppendOutcome.Unknown.class);
			}
		}
	}

	// Records with a hole, out of order or past the end come back. Applied as
	// they are, two readers would hold different states; the read fails instead.
	@Test
	void recordsThatAreNoAnswerToTheReadAreUnavailable() {
		String record = "{\"offset\":%d,\"time_ms\":1,\"data\":\"YQ==\"}";
		List<String> bodies = List.of("[" + record.formatted(1) + "]",
				"[" + record.formatted(0) + "," + record.formatted(2) + "]", "[" + record.formatted(0) + ",null]",
				"[{\"offset\":0,\"time_ms\":1,\"data\":\"?\"}]", "[{\"offset\":0}]");
		for (String body : bodies) {
			try (StandInServer odd = StandInServer.start(StandInServer.ANY_PORT,
					(application, running) -> application.get("/*",
							(context) -> context.send("{\"first\":0,\"next\":3,\"records\":" + body + "}")));
					LogService client = new LogService.ForHttp(Endpoints.of(odd.address()))) {
				assertThat(join(client.read(STREAM, 0, 10, Duration.ZERO)))
					.isEqualTo(new ReadOutcome.Unavailable("unreadable answer"));
			}
		}
	}

	// More reads wait than appends may be under way. An append must not queue
	// behind them, or a quiet log would stop itself from being written.
	@Test
	void waitingReadsDoNotHoldUpAppends() {
		HttpLimits narrow = HttpLimits.defaults().withMaximumCalls(2);
		Endpoint endpoint = Endpoints.of(this.standIn.address());
		try (LogService client = new LogService.ForHttp(endpoint, narrow)) {
			CompletableFuture<ReadOutcome> first = future(client.read(STREAM, 0, 1, Duration.ofSeconds(30)));
			CompletableFuture<ReadOutcome> second = future(client.read(STREAM, 0, 1, Duration.ofSeconds(30)));
			assertThat(join(client.append(STREAM, bytes("a")))).isEqualTo(new AppendOutcome.Appended(0));
			assertThat(first.join()).isInstanceOf(ReadOutcome.Records.class);
			assertThat(second.join()).isInstanceOf(ReadOutcome.Records.class);
		}
	}

	private AppendOutcome append(String text) {
		return join(this.log.append(STREAM, bytes(text)));
	}

	private ReadOutcome.Records read(long from, Duration wait) {
		return (ReadOutcome.Records) join(this.log.read(STREAM, from, 10, wait));
	}

	private void advance(Duration duration) {
		this.nanos.addAndGet(duration.toNanos());
	}

	private static List<String> texts(ReadOutcome.Records records) {
		return records.records().stream().map((entry) -> new String(entry.data(), StandardCharsets.UTF_8)).toList();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static <T> CompletableFuture<T> future(CompletionStage<T> stage) {
		return stage.toCompletableFuture();
	}

	private static <T> T join(CompletionStage<T> stage) {
		return future(stage).join();
	}

}
