package io.lentilslip.runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.lentilslip.client.log.AppendOutcome;
import io.lentilslip.client.log.LogService;
import io.lentilslip.client.log.ReadOutcome;
import io.lentilslip.client.log.StreamName;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.log.LogLimits;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.wire.codec.LedgerCodec;

/**
 * A log service that runs, with a client of it.
 */
public final class LogFixture implements AutoCloseable {

	private final LogServiceStandIn standIn;

	private final LogService client;

	private LogFixture(LogServiceStandIn standIn) {
		this.standIn = standIn;
		this.client = new LogService.ForHttp(new Endpoint("127.0.0.1", standIn.address().getPort()));
	}

	public static LogFixture start() {
		return new LogFixture(LogServiceStandIn.start());
	}

	public static LogFixture keeping(int records) {
		return new LogFixture(LogServiceStandIn.start(0,
				LogLimits.defaults().withRetention(records, Duration.ofDays(1)), System::nanoTime));
	}

	public LogServiceStandIn standIn() {
		return this.standIn;
	}

	public LogService client() {
		return this.client;
	}

	// A client whose reads end soon, so that it meets a change of the log's availability.
	public LogService withShortReads() {
		return changed(Duration.ofMillis(10), () -> {
		});
	}

	// A client that runs an action before its first append, such as the append of a
	// rival.
	public LogService beforeFirstAppend(Runnable action) {
		return changed(LogService.MAXIMUM_WAIT, action);
	}

	private LogService changed(Duration longestWait, Runnable action) {
		return new LogService() {

			private boolean done;

			@Override
			public CompletionStage<AppendOutcome> append(StreamName stream, byte[] data) {
				if (!this.done) {
					this.done = true;
					action.run();
				}
				return LogFixture.this.client.append(stream, data);
			}

			@Override
			public CompletionStage<ReadOutcome> read(StreamName stream, long from, int limit, Duration wait) {
				Duration shorter = (wait.compareTo(longestWait) < 0) ? wait : longestWait;
				return LogFixture.this.client.read(stream, from, limit, shorter);
			}

			@Override
			public void close() {
			}

		};
	}

	public void append(StreamName stream, byte[] record) {
		AppendOutcome outcome = this.client.append(stream, record).toCompletableFuture().join();
		if (!(outcome instanceof AppendOutcome.Appended)) {
			throw new IllegalStateException("not appended: " + outcome);
		}
	}

	public List<List<LedgerRecord>> batches() {
		ReadOutcome outcome = this.client.read(LogStreams.PROGRAMS, 0, 100, Duration.ZERO).toCompletableFuture().join();
		List<List<LedgerRecord>> batches = new ArrayList<>();
		((ReadOutcome.Records) outcome).records()
			.forEach((record) -> batches.add(LedgerCodec.decode(record.data()).get()));
		return batches;
	}

	public void setAvailability(Availability availability) {
		this.standIn.setAvailability(availability);
	}

	@Override
	public void close() {
		this.client.close();
		this.standIn.close();
	}

}
