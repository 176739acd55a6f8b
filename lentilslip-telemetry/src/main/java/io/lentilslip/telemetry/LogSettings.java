package io.lentilslip.telemetry;

import java.util.Objects;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.pattern.ClassicConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import io.lentilslip.core.notice.NoticeCode;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashCommonFieldNames;
import net.logstash.logback.stacktrace.ShortenedThrowableConverter;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

/**
 * How this Java process writes its log. By default it goes to standard error, since
 * standard output belongs to the results of commands. Libraries are written from WARN on
 * only: at Logback's own default, Netty writes its inner steps at DEBUG and buries the
 * notices. Immutable and safe for use by several threads.
 *
 * @param form the form of the output
 * @param level the lowest level of the project's own events that is written
 * @param target where the output goes
 */
public record LogSettings(Form form, NoticeCode.Level level, ConsoleTarget target) {

	private static final String PROJECT_LOGGER = "io.lentilslip";

	/**
	 * Creates settings.
	 * @param form the form of the output
	 * @param level the lowest level of the project's own events that is written
	 * @param target where the output goes
	 */
	public LogSettings {
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(form, "form");
		Objects.requireNonNull(level, "level");
	}

	/**
	 * Returns the default settings.
	 * @return lines from INFO on
	 */
	public static LogSettings defaults() {
		return new LogSettings(Form.LINES, NoticeCode.Level.INFO, ConsoleTarget.SystemErr);
	}

	/**
	 * Returns these settings in another form.
	 * @param other the other form
	 * @return the settings
	 */
	public LogSettings as(Form other) {
		return new LogSettings(other, this.level, this.target);
	}

	/**
	 * Returns these settings with another level.
	 * @param other the other level
	 * @return the settings
	 */
	public LogSettings from(NoticeCode.Level other) {
		return new LogSettings(this.form, other, this.target);
	}

	/**
	 * Returns these settings with output to standard output, which a role that prints no
	 * results has for its log.
	 * @return the settings
	 */
	public LogSettings onStandardOutput() {
		return new LogSettings(this.form, this.level, ConsoleTarget.SystemOut);
	}

	/**
	 * Puts these settings in force for this Java process, in place of all that was
	 * configured before.
	 * @throws IllegalStateException if another library than Logback stands behind SLF4J
	 */
	public void apply() {
		applyTo(context(), console());
	}

	/**
	 * Puts these settings in force as {@link #apply()} does, with a thread of its own
	 * that writes: whoever logs never waits, and lines are dropped while nobody reads
	 * them.
	 * @return the writing, to be closed at the end of the process
	 * @throws IllegalStateException if another library than Logback stands behind SLF4J
	 */
	public LogWriting applyWithoutWaiting() {
		LoggerContext context = context();
		ConsoleAppender<ILoggingEvent> console = console();
		start(context, console);
		root(context).addAppender(DroppingAppender.before(context, console));
		return context::stop;
	}

	private static LoggerContext context() {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			return context;
		}
		throw new IllegalStateException("Logback does not stand behind SLF4J");
	}

	private ConsoleAppender<ILoggingEvent> console() {
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setTarget(this.target.getName());
		return console;
	}

	/**
	 * Puts these settings in force in one context.
	 * @param context the context
	 * @param appender where the output goes
	 */
	void applyTo(LoggerContext context, OutputStreamAppender<ILoggingEvent> appender) {
		start(context, appender);
		root(context).addAppender(appender);
	}

	private void start(LoggerContext context, OutputStreamAppender<ILoggingEvent> appender) {
		context.reset();
		Encoder<ILoggingEvent> encoder = switch (this.form) {
			case LINES -> lineEncoder(context);
			case JSON -> jsonEncoder(context);
		};
		encoder.start();
		appender.setContext(context);
		appender.setEncoder(encoder);
		appender.start();
		Level own = Level.toLevel(this.level.name());
		context.getLogger(PROJECT_LOGGER).setLevel(own);
		root(context).setLevel(own.isGreaterOrEqual(Level.WARN) ? own : Level.WARN);
	}

	private static Logger root(LoggerContext context) {
		return context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
	}

	private static Encoder<ILoggingEvent> lineEncoder(LoggerContext context) {
		PatternLayoutEncoder encoder = new EventLineEncoder();
		encoder.setContext(context);
		return encoder;
	}

	private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
		ShortenedThrowableConverter exceptions = new ShortenedThrowableConverter();
		exceptions.setMaxLength(EventText.MAXIMUM_EXCEPTION_LENGTH);
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setContext(context);
		encoder.setTimeZone("UTC");
		encoder.setIncludeMdc(false);
		encoder.setIncludeContext(false);
		encoder.setThrowableConverter(exceptions);
		encoder.getFieldNames().setVersion(LogstashCommonFieldNames.IGNORE_FIELD_INDICATOR);
		encoder.getFieldNames().setLevelValue(LogstashCommonFieldNames.IGNORE_FIELD_INDICATOR);
		return encoder;
	}

	/**
	 * The form of the output. Safe for use by several threads.
	 */
	public enum Form {

		/**
		 * Lines for people: time, level, number, name and fields.
		 */
		LINES,

		/**
		 * A JSON object on each line, for a log collector.
		 */
		JSON

	}

	/**
	 * Writes each event on exactly one line. Safe for use by several threads once
	 * started.
	 */
	private static final class EventLineEncoder extends PatternLayoutEncoder {

		private static final String PATTERN = "%d{\"yyyy-MM-dd'T'HH:mm:ss.SSS'Z'\", UTC} %-5level %event%n%nopex";

		@Override
		public void start() {
			PatternLayout lines = new PatternLayout();
			lines.getInstanceConverterMap().put("event", EventText::new);
			lines.setContext(getContext());
			lines.setPattern(PATTERN);
			lines.start();
			this.layout = lines;
			this.started = true;
		}

	}

	/**
	 * The text of an event after its time and level. Stateless and safe for use by
	 * several threads.
	 */
	private static final class EventText extends ClassicConverter {

		private static final int MAXIMUM_MESSAGE_LENGTH = 4096;

		private static final int MAXIMUM_EXCEPTION_LENGTH = 8192;

		@Override
		public String convert(ILoggingEvent event) {
			StringBuilder text = new StringBuilder();
			if (!event.getLoggerName().startsWith(Notices.ForLogger.LOGGER_PREFIX)) {
				text.append(event.getLoggerName()).append(": ");
			}
			text.append(bounded(event.getFormattedMessage(), MAXIMUM_MESSAGE_LENGTH));
			appendFields(text, event);
			if (event.getThrowableProxy() != null) {
				String trace = ThrowableProxyUtil.asString(event.getThrowableProxy());
				text.append(" | ").append(bounded(trace, MAXIMUM_EXCEPTION_LENGTH));
			}
			return text.toString();
		}

		private static String bounded(String text, int limit) {
			return LineText.escaped(LineText.bounded(text, limit));
		}

		private static void appendFields(StringBuilder text, ILoggingEvent event) {
			if (event.getKeyValuePairs() == null) {
				return;
			}
			for (KeyValuePair field : event.getKeyValuePairs()) {
				text.append(' ').append(field.key).append('=').append(LineText.quoted(String.valueOf(field.value)));
			}
		}

	}

}
