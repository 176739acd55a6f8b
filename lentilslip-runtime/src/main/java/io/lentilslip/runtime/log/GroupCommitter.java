package io.lentilslip.runtime.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;

import io.lentilslip.client.log.AppendOutcome;
import io.lentilslip.client.log.LogService;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.wire.codec.LedgerCodec;

/**
 * Appends ledger records to the log in their order, one append at a time; records that
 * arrive meanwhile share the next one. The log takes several hundred appends a second for
 * all processes together, and a batch costs as much as a single record.
 * <p>
 * An append is never sent a second time here: whether a record whose answer was lost may
 * stand twice is for the reducer to decide. Safe for use by several threads.
 */
public final class GroupCommitter implements AutoCloseable {

	/**
	 * The bytes of records from which a batch takes no further one. A batch stays well
	 * under the longest record of the log, and a single record may still be longer.
	 */
	static final int BATCH_BYTES = 256 * 1024;

	private static final int BATCH_RECORDS = 1024;

	private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

	private final LogService log;

	private final Consumer<LogEvent> events;

	private final ProcessContext context;

	private final BlockingQueue<NodeEffect.AppendRecord> waiting;

	private final Thread thread;

	/**
	 * Creates a committer that has not started.
	 * @param log the log service
	 * @param bound the most records that wait
	 * @param events where the end of each append is told; must not block
	 * @param context what the committer shares with the process
	 */
	public GroupCommitter(LogService log, int bound, Consumer<LogEvent> events, ProcessContext context) {
		this.log = log;
		this.waiting = new ArrayBlockingQueue<>(bound);
		this.events = events;
		this.context = context;
		this.thread = context.thread("append", this::work);
	}

	/**
	 * Starts to append.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Takes a record. If too many wait, the append ends at once as
	 * {@link AppendResult#NOT_APPENDED}.
	 * @param append the append
	 */
	public void append(NodeEffect.AppendRecord append) {
		if (!this.waiting.offer(append)) {
			end(append, AppendResult.NOT_APPENDED);
		}
	}

	private void work() {
		NodeEffect.AppendRecord carried = null;
		try {
			while (!Thread.currentThread().isInterrupted()) {
				List<NodeEffect.AppendRecord> batch = new ArrayList<>();
				carried = collect((carried != null) ? carried : this.waiting.take(), batch);
				commit(batch);
			}
		}
		catch (InterruptedException ex) {
			// The committer was closed; the process ends and nobody waits for the rest.
			Thread.currentThread().interrupt();
		}
	}

	// Fills a batch and returns the record that found no room in it, or null.
	private NodeEffect.AppendRecord collect(NodeEffect.AppendRecord first, List<NodeEffect.AppendRecord> batch) {
		int bytes = 0;
		NodeEffect.AppendRecord next = first;
		while (next != null) {
			bytes += LedgerCodec.encode(List.of(next.record())).length;
			if (!batch.isEmpty() && bytes > BATCH_BYTES) {
				return next;
			}
			batch.add(next);
			next = (batch.size() < BATCH_RECORDS) ? this.waiting.poll() : null;
		}
		return null;
	}

	private void commit(List<NodeEffect.AppendRecord> batch) throws InterruptedException {
		List<LedgerRecord> records = batch.stream().map(NodeEffect.AppendRecord::record).toList();
		Instant start = this.context.clock().now();
		AppendOutcome outcome = send(LedgerCodec.encode(records));
		Duration duration = Duration.between(start, this.context.clock().now());
		this.context.measurements().accept(new Measurement.LogAppend(measured(outcome), duration));
		if (outcome instanceof AppendOutcome.Unknown unknown) {
			this.context.notices()
				.accept(new Notice(NoticeCode.APPEND_UNKNOWN, List.of()).with(FieldName.STREAM, LogStreams.PROGRAMS)
					.with(FieldName.REASON, unknown.reason()));
		}
		batch.forEach((append) -> end(append, result(outcome)));
		if (outcome instanceof AppendOutcome.NotAppended refused && refused.retryAfter().isPresent()) {
			this.context.pause().await(shorter(refused.retryAfter().get()));
		}
	}

	private AppendOutcome send(byte[] bytes) throws InterruptedException {
		try {
			return this.log.append(LogStreams.PROGRAMS, bytes).toCompletableFuture().get();
		}
		catch (ExecutionException ex) {
			return new AppendOutcome.Unknown(String.valueOf(ex.getCause()));
		}
	}

	private void end(NodeEffect.AppendRecord append, AppendResult result) {
		this.events.accept(new LogEvent.AppendEnded(append.append(), result, this.context.clock().now()));
	}

	private static Duration shorter(Duration asked) {
		return (asked.compareTo(LONGEST_PAUSE) < 0) ? asked : LONGEST_PAUSE;
	}

	private static AppendResult result(AppendOutcome outcome) {
		return switch (outcome) {
			case AppendOutcome.Appended appended -> AppendResult.APPENDED;
			case AppendOutcome.NotAppended refused -> AppendResult.NOT_APPENDED;
			case AppendOutcome.Unknown unknown -> AppendResult.UNKNOWN;
		};
	}

	private static Measurement.LogAppend.Outcome measured(AppendOutcome outcome) {
		return switch (outcome) {
			case AppendOutcome.Appended appended -> Measurement.LogAppend.Outcome.APPENDED;
			case AppendOutcome.NotAppended refused -> Measurement.LogAppend.Outcome.REFUSED;
			case AppendOutcome.Unknown unknown -> Measurement.LogAppend.Outcome.UNKNOWN;
		};
	}

	/**
	 * Ends the appending; records that wait are dropped. Returns once the thread has
	 * ended.
	 */
	@Override
	public void close() {
		ProcessContext.end(this.thread);
	}

}
