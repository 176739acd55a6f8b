package io.lentilslip.telemetry;

import java.util.List;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import org.slf4j.event.KeyValuePair;

/**
 * Hands lines to a thread that writes them, and drops them while its queue is full: a
 * reader of standard output that stops reading must not stop a request. What was dropped
 * is counted and told with the first line that goes through again. Safe for use by
 * several threads.
 */
final class DroppingAppender extends AsyncAppender {

	/**
	 * The most lines that wait: some seconds of a busy relay, and a megabyte at most.
	 */
	static final int QUEUE = 2048;

	/**
	 * The longest time in milliseconds that the end of the process waits for lines.
	 */
	private static final int FLUSH_MS = 300;

	private int dropped;

	private DroppingAppender() {
		setQueueSize(QUEUE);
		setDiscardingThreshold(0);
		setNeverBlock(true);
		setIncludeCallerData(false);
		setMaxFlushTime(FLUSH_MS);
	}

	/**
	 * Creates an appender that is started already.
	 * @param context the context
	 * @param next where the lines go, already started
	 * @return the appender
	 */
	static DroppingAppender before(LoggerContext context, Appender<ILoggingEvent> next) {
		DroppingAppender first = new DroppingAppender();
		first.setContext(context);
		first.addAppender(next);
		first.start();
		return first;
	}

	@Override
	protected void append(ILoggingEvent event) {
		synchronized (this) {
			if (getRemainingCapacity() < 2) {
				this.dropped++;
				return;
			}
			if (this.dropped > 0) {
				super.append(summary(this.dropped));
				this.dropped = 0;
			}
		}
		super.append(event);
	}

	private ILoggingEvent summary(int count) {
		NoticeCode code = NoticeCode.LINES_DROPPED;
		Logger logger = ((LoggerContext) getContext())
			.getLogger(Notices.ForLogger.LOGGER_PREFIX + code.range().label());
		LoggingEvent summary = new LoggingEvent(DroppingAppender.class.getName(), logger, Level.WARN,
				"E" + code.number() + " " + code.name(), null, null);
		summary.setKeyValuePairs(List.of(new KeyValuePair(FieldName.COUNT.label(), count)));
		return summary;
	}

}
