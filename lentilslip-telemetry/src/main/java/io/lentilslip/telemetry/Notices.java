package io.lentilslip.telemetry;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.notice.NoticeField;
import org.slf4j.ILoggerFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Where notices go. Implementations are safe for use by several threads and never throw
 * for a notice's text.
 */
public interface Notices {

	/**
	 * Takes a notice.
	 * @param notice the notice
	 */
	void write(Notice notice);

	/**
	 * Drops every notice. Safe for use by several threads.
	 */
	enum NoOp implements Notices {

		/**
		 * The only instance.
		 */
		INSTANCE;

		@Override
		public void write(Notice notice) {
		}

	}

	/**
	 * Writes notices through SLF4J: number and name as the message, fields as key-value
	 * pairs, one logger for each range. The message never holds a field's value, so a
	 * value is never read as a pattern. Immutable and safe for use by several threads.
	 */
	final class ForLogger implements Notices {

		/**
		 * The name that the names of all loggers of notices begin with.
		 */
		public static final String LOGGER_PREFIX = "io.lentilslip.notice.";

		/**
		 * The most characters of a value that are written.
		 */
		public static final int MAXIMUM_VALUE_LENGTH = 256;

		private final Map<NoticeCode.Range, Logger> loggers = new EnumMap<>(NoticeCode.Range.class);

		private final String process;

		/**
		 * Creates a writer to the loggers of a factory.
		 * @param factory the factory of the loggers
		 * @param process the process that stands on each notice
		 */
		public ForLogger(ILoggerFactory factory, String process) {
			this.process = Objects.requireNonNull(process, "process");
			for (NoticeCode.Range range : NoticeCode.Range.values()) {
				this.loggers.put(range, factory.getLogger(LOGGER_PREFIX + range.label()));
			}
		}

		/**
		 * Returns a writer to the loggers of this Java process.
		 * @param process the process that stands on each notice
		 * @return the writer
		 */
		public static Notices ofProcess(String process) {
			return new ForLogger(LoggerFactory.getILoggerFactory(), process);
		}

		@Override
		public void write(Notice notice) {
			NoticeCode code = notice.code();
			LoggingEventBuilder event = this.loggers.get(code.range()).atLevel(levelOf(code.level()));
			event = event.addKeyValue(FieldName.PROCESS.label(), bounded(this.process));
			for (NoticeField field : notice.fields()) {
				event = event.addKeyValue(field.name().label(), bounded(field.value()));
			}
			event.log("E" + code.number() + " " + code.name());
		}

		private static Level levelOf(NoticeCode.Level level) {
			return switch (level) {
				case ERROR -> Level.ERROR;
				case WARN -> Level.WARN;
				case INFO -> Level.INFO;
				case DEBUG -> Level.DEBUG;
			};
		}

		private static String bounded(String value) {
			return LineText.bounded(value, MAXIMUM_VALUE_LENGTH);
		}

	}

	/**
	 * Passes on as many notices of one kind as a second may have, and sums up the rest: a
	 * fault that repeats on each request must neither fill the store of the log nor take
	 * the processor from the requests. Safe for use by several threads.
	 */
	final class Limited implements Notices {

		private final Notices next;

		private final int limit;

		private final LongSupplier seconds;

		private final Map<NoticeCode, Integer> written = new EnumMap<>(NoticeCode.class);

		private final Map<NoticeCode, Integer> heldBack = new EnumMap<>(NoticeCode.class);

		private long second;

		/**
		 * Creates a limit.
		 * @param next where the notices go then
		 * @param limit the most notices of one kind in a second
		 * @param seconds a steady clock
		 */
		public Limited(Notices next, int limit, LongSupplier seconds) {
			this.next = Objects.requireNonNull(next, "next");
			this.limit = limit;
			this.seconds = Objects.requireNonNull(seconds, "seconds");
		}

		/**
		 * Creates a limit by the steady clock of this Java process.
		 * @param next where the notices go then
		 * @param limit the most notices of one kind in a second
		 * @return the limit
		 */
		public static Notices perSecond(Notices next, int limit) {
			return new Limited(next, limit, () -> TimeUnit.NANOSECONDS.toSeconds(System.nanoTime()));
		}

		@Override
		public synchronized void write(Notice notice) {
			long now = this.seconds.getAsLong();
			if (now != this.second) {
				this.second = now;
				sumUp();
			}
			if (this.written.merge(notice.code(), 1, Integer::sum) > this.limit) {
				this.heldBack.merge(notice.code(), 1, Integer::sum);
				return;
			}
			this.next.write(notice);
		}

		private void sumUp() {
			this.written.clear();
			this.heldBack.forEach((code,
					count) -> this.next.write(NoticeCode.EVENTS_HELD_BACK.with(FieldName.KEY, code.number())
						.with(FieldName.COUNT, count)
						.with(FieldName.LIMIT, this.limit)));
			this.heldBack.clear();
		}

	}

	/**
	 * Counts notices in the metrics, also those whose level isn't written, and passes
	 * them on. Immutable and safe for use by several threads.
	 *
	 * @param metrics the metrics that count
	 * @param next where the notices go then
	 */
	record Counted(Metrics metrics, Notices next) implements Notices {

		/**
		 * Creates a counting writer.
		 * @param metrics the metrics that count
		 * @param next where the notices go then
		 */
		public Counted {
			Objects.requireNonNull(metrics, "metrics");
			Objects.requireNonNull(next, "next");
		}

		@Override
		public void write(Notice notice) {
			this.metrics.count(notice.code());
			this.next.write(notice);
		}

	}

}
