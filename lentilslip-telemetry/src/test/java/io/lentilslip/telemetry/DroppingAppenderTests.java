package io.lentilslip.telemetry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DroppingAppenderTests {

	private static final int LINES = 3 * DroppingAppender.QUEUE;

	private final LoggerContext context = new LoggerContext();

	private final Logger logger = this.context.getLogger("io.lentilslip.test");

	// Whoever reads the log stops reading, so a write never ends. Requests go on: their
	// lines wait up to a bound and are dropped beyond it. When the reader reads again, it
	// is told how many it missed.
	@Test
	void readerThatStopsReadingStopsNothing() {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		Blocked blocked = new Blocked();
		blocked.setContext(this.context);
		blocked.start();
		this.logger.setLevel(Level.INFO);
		DroppingAppender dropping = DroppingAppender.before(this.context, blocked);
		this.logger.addAppender(dropping);
		for (int i = 0; i < LINES; i++) {
			this.logger.info("line");
		}
		blocked.reader.countDown();
		while (dropping.getNumberOfElementsInQueue() > 0) {
			Thread.onSpinWait();
		}
		this.logger.info("after");
		dropping.stop();
		List<String> lines = blocked.lines.stream().map(ILoggingEvent::getFormattedMessage).toList();
		assertThat(lines).last().isEqualTo("after");
		ILoggingEvent summary = blocked.lines.get(lines.size() - 2);
		assertThat(summary.getFormattedMessage()).isEqualTo("E1011 LINES_DROPPED");
		int missed = (Integer) summary.getKeyValuePairs().getFirst().value;
		assertThat(lines.size() - 2 + missed).isEqualTo(LINES);
		assertThat(missed).isPositive();
	}

	/**
	 * Takes no line until it is let. Used by the appender's thread.
	 */
	private static final class Blocked extends AppenderBase<ILoggingEvent> {

		private final CountDownLatch reader = new CountDownLatch(1);

		private final List<ILoggingEvent> lines = Collections.synchronizedList(new ArrayList<>());

		@Override
		protected void append(ILoggingEvent event) {
			try {
				this.reader.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			this.lines.add(event);
		}

	}

}
