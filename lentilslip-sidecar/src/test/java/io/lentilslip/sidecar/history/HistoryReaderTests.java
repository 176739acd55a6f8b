package io.lentilslip.sidecar.history;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.lentilslip.client.log.LogService;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.log.LogLimits;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.wire.codec.LedgerCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class HistoryReaderTests {

	private static final ProgramId PROGRAM = new ProgramId(new GroupName("sellers"), new ProgramName("draft"));

	private static final Epoch EPOCH = new Epoch(1);

	private final BlockingQueue<SidecarEvent> events = new LinkedBlockingQueue<>();

	@Test
	void turnsComeInTheirOrder() throws InterruptedException {
		try (LogServiceStandIn log = LogServiceStandIn.start()) {
			fill(log);
			assertThat(read(log, new Position(2, 0))).isEqualTo(
					new SidecarEvent.HistoryRead(PROGRAM, EPOCH, List.of(turn(1), turn(2), turn(3)), Instant.EPOCH));
		}
	}

	// The program slept for so long that its first turn passed retention. The history is
	// lost, and the caller is told: the model must not go on from the later turns alone.
	@Test
	void turnThatPassedRetentionLosesTheHistory() throws InterruptedException {
		LogLimits limits = LogLimits.defaults().withRetention(2, Duration.ofDays(1));
		try (LogServiceStandIn log = LogServiceStandIn.start(0, limits, System::nanoTime)) {
			fill(log);
			assertThat(read(log, new Position(2, 0)))
				.isEqualTo(new SidecarEvent.HistoryReadFailed(PROGRAM, EPOCH, true, Instant.EPOCH));
		}
	}

	@Test
	void logThatIsDownLosesNothing() throws InterruptedException {
		try (LogServiceStandIn log = LogServiceStandIn.start()) {
			fill(log);
			log.setAvailability(new Availability.Refusing());
			assertThat(read(log, new Position(2, 0)))
				.isEqualTo(new SidecarEvent.HistoryReadFailed(PROGRAM, EPOCH, false, Instant.EPOCH));
		}
	}

	@Test
	void recordOfAnotherKindIsNoTurn() throws InterruptedException {
		try (LogServiceStandIn log = LogServiceStandIn.start()) {
			fill(log);
			assertThat(read(log, new Position(1, 0)))
				.isEqualTo(new SidecarEvent.HistoryReadFailed(PROGRAM, EPOCH, true, Instant.EPOCH));
		}
	}

	private SidecarEvent read(LogServiceStandIn log, Position last) throws InterruptedException {
		try (LogService client = client(log);
				HistoryReader reader = new HistoryReader(client, this.events::add, () -> Instant.EPOCH)) {
			reader.read(new SidecarEffect.ReadHistory(PROGRAM, EPOCH, last));
			return this.events.take();
		}
	}

	private static void fill(LogServiceStandIn log) {
		try (LogService client = client(log)) {
			append(client, List.of(committed(1, Optional.empty())));
			append(client, List.of(new LedgerRecord.ProgramEnded(PROGRAM, EndReason.IDLE),
					committed(2, Optional.of(new Position(0, 0)))));
			append(client, List.of(committed(3, Optional.of(new Position(1, 1)))));
		}
	}

	private static LogService client(LogServiceStandIn log) {
		return new LogService.ForHttp(new Endpoint("127.0.0.1", log.address().getPort()));
	}

	private static void append(LogService client, List<LedgerRecord> batch) {
		client.append(LogStreams.PROGRAMS, LedgerCodec.encode(batch)).toCompletableFuture().join();
	}

	private static LedgerRecord committed(int number, Optional<Position> previous) {
		return new LedgerRecord.TurnCommitted(PROGRAM, EPOCH, turn(number), previous);
	}

	private static Turn turn(int number) {
		CallResponse.FromModel answer = new CallResponse.FromModel(
				"{\"role\":\"assistant\",\"content\":\"a" + number + "\"}", "stop", new Usage(1, 0, 1));
		return new Turn(number, Digest.of("c" + number), Optional.empty(),
				List.of("{\"role\":\"user\",\"content\":\"q" + number + "\"}"), answer);
	}

}
