package io.lentilslip.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogSettingsTests {

	private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z ";

	private final LoggerContext context = new LoggerContext();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@Test
	void noticeReadsAsOneLine() {
		apply(LogSettings.defaults());
		write(NoticeCode.PROGRAM_MOVED.with(FieldName.PROGRAM, "sellers/draft-17").with(FieldName.EPOCH, 4));
		assertThat(lines()).singleElement()
			.asString()
			.matches(TIME + "INFO  E4003 PROGRAM_MOVED process=entry-1 program=sellers/draft-17 epoch=4");
	}

	@Test
	void valueCannotBeginALineOrAField() {
		// A caller puts line feeds, quotes, a forged event and text that turns the
		// direction of reading into a name. Whoever reads the log must still see one
		// event with one value, or the caller could hide what it did behind made-up
		// lines.
		apply(LogSettings.defaults());
		write(NoticeCode.CALL_REFUSED.with(FieldName.REASON,
				"a\" vm=b\r\n2026-01-01 ERROR E6001 ENGINE_CRASHED\u2028\u0085\u001b[2J\u202e\\"));
		assertThat(lines()).singleElement()
			.asString()
			.endsWith(" E4011 CALL_REFUSED process=entry-1 reason=\"a\\\" vm=b\\r\\n"
					+ "2026-01-01 ERROR E6001 ENGINE_CRASHED\\u2028\\u0085\\u001b[2J\\u202e\\\\\"");
	}

	@Property(tries = 500, seed = "42")
	void anyValueStaysOnItsLine(@ForAll @StringLength(max = 300) @Chars({ 'a', ' ', '=', '"', '\\', '\n', '\r', '\t',
			'\u000b', '\f', '\u0085', '\u2028', '\u2029' }) String value) {
		this.output.reset();
		apply(LogSettings.defaults());
		write(NoticeCode.CALL_REFUSED.with(FieldName.REASON, value));
		assertThat(lines()).singleElement().asString().contains(" E4011 CALL_REFUSED process=entry-1 reason=");
	}

	@Test
	void longValueIsCut() {
		apply(LogSettings.defaults());
		write(NoticeCode.CALL_REFUSED.with(FieldName.REASON, "x".repeat(100_000)));
		assertThat(lines()).singleElement().asString().endsWith(" reason=" + "x".repeat(253) + "...");
	}

	@Test
	void jsonKeepsTheValueAsItWasGiven() throws Exception {
		apply(LogSettings.defaults().as(LogSettings.Form.JSON));
		write(NoticeCode.CALL_REFUSED.with(FieldName.GROUP, "sellers").with(FieldName.REASON, "a\n\"b\"={}"));
		JsonNode event = new ObjectMapper().readTree(lines().get(0));
		assertThat(lines()).hasSize(1);
		assertThat(event.get("message").asText()).isEqualTo("E4011 CALL_REFUSED");
		assertThat(event.get("level").asText()).isEqualTo("INFO");
		assertThat(event.get("logger_name").asText()).isEqualTo("io.lentilslip.notice.programs");
		assertThat(event.get("process").asText()).isEqualTo("entry-1");
		assertThat(event.get("group").asText()).isEqualTo("sellers");
		assertThat(event.get("reason").asText()).isEqualTo("a\n\"b\"={}");
	}

	@Test
	void librariesAreQuietAndTheProjectKeepsItsLevel() {
		apply(LogSettings.defaults().from(NoticeCode.Level.DEBUG));
		this.context.getLogger("io.netty.channel").debug("inner step");
		this.context.getLogger("io.netty.channel").info("inner step");
		write(NoticeCode.TURN_COMMITTED.with(FieldName.CALL, 3));
		assertThat(lines()).singleElement().asString().contains("DEBUG E4004 TURN_COMMITTED");
	}

	@Test
	void exceptionOfALibraryStaysOnItsLine() {
		apply(LogSettings.defaults());
		this.context.getLogger("io.netty.channel").warn("cut\noff", new IllegalStateException("forged\nline"));
		assertThat(lines()).singleElement()
			.asString()
			.contains("WARN  io.netty.channel: cut\\noff | java.lang.IllegalStateException: forged\\nline");
	}

	@Test
	void standardOutputIsLeftToResults() {
		PrintStream standardOutput = System.out;
		PrintStream standardError = System.err;
		ByteArrayOutputStream results = new ByteArrayOutputStream();
		try {
			System.setOut(new PrintStream(results, true, StandardCharsets.UTF_8));
			System.setErr(new PrintStream(this.output, true, StandardCharsets.UTF_8));
			LogSettings.defaults().apply();
			Notices.ForLogger.ofProcess("entry-1").write(NoticeCode.PROCESS_READY.with(FieldName.ROLE, "entry"));
		}
		finally {
			System.setOut(standardOutput);
			System.setErr(standardError);
		}
		assertThat(lines()).singleElement().asString().endsWith("INFO  E1003 PROCESS_READY process=entry-1 role=entry");
		assertThat(results.size()).isZero();
	}

	private void apply(LogSettings settings) {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
		appender.setOutputStream(this.output);
		settings.applyTo(this.context, appender);
	}

	private void write(Notice notice) {
		new Notices.ForLogger(this.context, "entry-1").write(notice);
	}

	private List<String> lines() {
		return List.of(this.output.toString(StandardCharsets.UTF_8).split("\\R"));
	}

}
