package io.lentilslip.runtime.log;

import java.util.List;

import io.lentilslip.client.log.LogRecord;
import io.lentilslip.client.log.LogService;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.LedgerCodec;
import io.vavr.control.Either;

/**
 * Tells a loop what the stream of ledger records holds, from its first kept record on.
 * The loop sees each offset once and in order. A record that can't be decoded counts as
 * an empty batch, so that all processes of one release give every other record the same
 * place. Safe for use by several threads.
 */
public final class LogFollower implements AutoCloseable {

	private final StreamFollower follower;

	/**
	 * Creates a follower that has not started.
	 * @param log the log service
	 * @param sink where the events go
	 * @param context what the follower shares with the process
	 */
	public LogFollower(LogService log, Sink sink, ProcessContext context) {
		Teller teller = new Teller(sink, context);
		this.follower = new StreamFollower(log, LogStreams.PROGRAMS, 0, teller, context);
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.follower.start();
	}

	/**
	 * Ends the reading.
	 */
	@Override
	public void close() {
		this.follower.close();
	}

	/**
	 * Where the events of the log go. It may wait for room, which slows the reading down.
	 */
	@FunctionalInterface
	public interface Sink {

		/**
		 * Takes an event.
		 * @param event the event
		 * @throws InterruptedException if the follower is closed meanwhile
		 */
		void accept(LogEvent event) throws InterruptedException;

	}

	/**
	 * Makes events of what the follower of the stream learns.
	 *
	 * @param sink where the events go
	 * @param context what the follower shares with the process
	 */
	private record Teller(Sink sink, ProcessContext context) implements StreamFollower.Listener {

		@Override
		public void record(LogRecord record) throws InterruptedException {
			Either<CodecProblem, List<LedgerRecord>> batch = LedgerCodec.decode(record.data());
			if (batch.isLeft()) {
				this.context.notices()
					.accept(notice(NoticeCode.LOG_RECORD_UNREADABLE).with(FieldName.OFFSET, record.offset())
						.with(FieldName.REASON, batch.getLeft()));
			}
			List<LedgerRecord> records = batch.getOrElse(List.of());
			this.sink
				.accept(new LogEvent.BatchRead(record.offset(), record.time(), records, this.context.clock().now()));
		}

		@Override
		public void caughtUp(long next) throws InterruptedException {
			this.sink.accept(new LogEvent.CaughtUp(next, this.context.clock().now()));
		}

		@Override
		public void unreachable() throws InterruptedException {
			this.sink.accept(new LogEvent.Unreachable(this.context.clock().now()));
		}

		// A process that starts finds the oldest records gone, as it should be; only a
		// gap behind records that it has read is worth an operator's attention.
		@Override
		public void gap(long from, long first) throws InterruptedException {
			if (from > 0) {
				this.context.notices()
					.accept(notice(NoticeCode.RETENTION_GAP).with(FieldName.OFFSET, from)
						.with(FieldName.COUNT, first - from));
			}
			this.sink.accept(new LogEvent.GapDetected(from, first, this.context.clock().now()));
		}

		private static Notice notice(NoticeCode code) {
			return new Notice(code, List.of()).with(FieldName.STREAM, LogStreams.PROGRAMS);
		}

	}

}
