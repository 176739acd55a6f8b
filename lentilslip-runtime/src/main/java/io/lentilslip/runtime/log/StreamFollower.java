package io.lentilslip.runtime.log;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutionException;

import io.lentilslip.client.log.LogRecord;
import io.lentilslip.client.log.LogService;
import io.lentilslip.client.log.ReadOutcome;
import io.lentilslip.client.log.StreamName;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.retry.Backoff;
import io.lentilslip.runtime.loop.ProcessContext;

/**
 * Reads a stream of the log from an offset on, for ever, on one thread of its own. The
 * listener sees the records in their order, each once unless the follower is told to go
 * back, and between them how the log is doing.
 * <p>
 * Safe for use by several threads.
 */
public final class StreamFollower implements AutoCloseable {

	private static final Duration POLL = Duration.ofSeconds(5);

	private static final int LARGEST_PAGE = 1024;

	private static final int FIRST_PAGE = 64;

	private final LogService log;

	private final StreamName stream;

	private final Listener listener;

	private final ProcessContext context;

	private final Thread thread;

	private final Object lock = new Object();

	// The offset to read next, and how often it was set from outside. A page that was
	// asked for before is dropped: it would be taken for records of another place.
	private long next;

	private long jumps;

	private int page = FIRST_PAGE;

	private int failures;

	private Instant unreachableSince;

	/**
	 * Creates a follower that has not started.
	 * @param log the log service
	 * @param stream the stream
	 * @param from the offset to read from
	 * @param listener what sees the records
	 * @param context what the follower shares with the process
	 */
	public StreamFollower(LogService log, StreamName stream, long from, Listener listener, ProcessContext context) {
		this.log = log;
		this.stream = stream;
		this.next = from;
		this.listener = listener;
		this.context = context;
		this.thread = context.thread("follow-" + stream, this::follow);
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Goes on from another offset, at the latest when the read under way has ended.
	 * @param offset the offset to read next
	 */
	public void jumpTo(long offset) {
		synchronized (this.lock) {
			this.next = offset;
			this.jumps++;
		}
	}

	private void follow() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				readPage();
			}
		}
		catch (InterruptedException ex) {
			// The follower was closed; there is nobody to tell.
			Thread.currentThread().interrupt();
		}
	}

	private void readPage() throws InterruptedException {
		long from;
		long jump;
		synchronized (this.lock) {
			from = this.next;
			jump = this.jumps;
		}
		switch (read(from)) {
			case ReadOutcome.Unavailable unavailable -> fail(unavailable.reason());
			case ReadOutcome.Records records when records.next() < from ->
				fail("the log ends at " + records.next() + ", before " + from + " that was read");
			case ReadOutcome.Records records -> take(from, jump, records);
		}
	}

	private ReadOutcome read(long from) throws InterruptedException {
		try {
			return this.log.read(this.stream, from, this.page, POLL).toCompletableFuture().get();
		}
		catch (ExecutionException ex) {
			return new ReadOutcome.Unavailable(String.valueOf(ex.getCause()));
		}
	}

	// An answer may have been too long for the client, so a smaller page is asked for
	// after a failure; else records of the largest size would stop the reader for ever.
	private void fail(String reason) throws InterruptedException {
		this.failures++;
		this.page = Math.max(1, this.page / 2);
		if (this.unreachableSince == null) {
			this.unreachableSince = this.context.clock().now();
			this.context.notices().accept(notice(NoticeCode.LOG_UNAVAILABLE).with(FieldName.REASON, reason));
		}
		this.listener.unreachable();
		this.context.pause().await(Backoff.STANDARD.delayAfter(this.failures, this.context.seeds().next()));
	}

	private void take(long from, long jump, ReadOutcome.Records records) throws InterruptedException {
		recover(from);
		if (records.first() > from) {
			if (!advance(jump, records.first())) {
				return;
			}
			this.listener.gap(from, records.first());
		}
		for (LogRecord record : records.records()) {
			if (!advance(jump, record.offset() + 1)) {
				return;
			}
			this.listener.record(record);
		}
		if (reached(jump, records.next())) {
			this.listener.caughtUp(records.next());
		}
	}

	private void recover(long from) {
		this.failures = 0;
		this.page = Math.min(LARGEST_PAGE, this.page * 2);
		if (this.unreachableSince != null) {
			long millis = Duration.between(this.unreachableSince, this.context.clock().now()).toMillis();
			this.unreachableSince = null;
			this.context.notices()
				.accept(notice(NoticeCode.LOG_BACK).with(FieldName.OFFSET, from).with(FieldName.MILLISECONDS, millis));
		}
	}

	private boolean advance(long jump, long offset) {
		synchronized (this.lock) {
			if (this.jumps != jump) {
				return false;
			}
			this.next = offset;
			return true;
		}
	}

	private boolean reached(long jump, long end) {
		synchronized (this.lock) {
			return this.jumps == jump && this.next >= end;
		}
	}

	private Notice notice(NoticeCode code) {
		return new Notice(code, List.of()).with(FieldName.STREAM, this.stream);
	}

	/**
	 * Ends the reading. Returns once the thread has ended, or at once if the thread
	 * itself calls.
	 */
	@Override
	public void close() {
		ProcessContext.end(this.thread);
	}

	/**
	 * What sees the records of a stream. All calls come from the follower's thread.
	 */
	public interface Listener {

		/**
		 * Takes the next record.
		 * @param record the record
		 * @throws InterruptedException if the follower is closed meanwhile
		 */
		void record(LogRecord record) throws InterruptedException;

		/**
		 * Learns that all records were read that the log had when it was asked.
		 * @param next the offset of the next append
		 * @throws InterruptedException if the follower is closed meanwhile
		 */
		void caughtUp(long next) throws InterruptedException;

		/**
		 * Learns that the log could not be read; the follower tries again.
		 * @throws InterruptedException if the follower is closed meanwhile
		 */
		void unreachable() throws InterruptedException;

		/**
		 * Learns that records passed the retention of the log before they were read.
		 * @param from the offset that was to be read
		 * @param first the oldest offset that is left
		 * @throws InterruptedException if the follower is closed meanwhile
		 */
		void gap(long from, long first) throws InterruptedException;

	}

}
