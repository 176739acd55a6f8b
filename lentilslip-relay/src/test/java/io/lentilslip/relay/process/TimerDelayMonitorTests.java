package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.relay.RelayEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TimerDelayMonitorTests {

	private final List<Measurement> measured = new ArrayList<>();

	private final List<Notice> notices = new ArrayList<>();

	private final EventTimes events = new EventTimes();

	private final TimerDelayMonitor monitor = new TimerDelayMonitor(this.measured::add, this.notices::add,
			this.events::takeLongest, () -> Duration.ofMillis(300));

	@Test
	void firstRunIsNotMeasured() {
		this.monitor.recordRun(900_000);
		assertThat(this.measured).isEmpty();
		assertThat(this.notices).isEmpty();
	}

	@Test
	void everyRunIsMeasuredAndOnlyLongDelaysAreReported() {
		run(1000, 0);
		run(1250, 99);
		run(1600, 100);
		assertThat(this.measured).containsExactly(measurement(0), measurement(99), measurement(100));
		assertThat(this.notices).containsExactly(delayNotice(100));
	}

	@Test
	void earlyRunHasNoDelay() {
		run(1000, -1);
		assertThat(this.measured).containsExactly(measurement(0));
	}

	// A starved relay must write at most one notice a second, with the maximum delay. The
	// maximum of the last second must be reported even if the next run is on time.
	@Test
	void maximumDelayIsReportedOncePerSecond() {
		run(1000, 200);
		run(1450, 700);
		run(2100, 99);
		assertThat(this.notices).containsExactly(delayNotice(200));
		run(2200, 0);
		run(3400, 0);
		assertThat(this.notices).containsExactly(delayNotice(200), delayNotice(700));
	}

	@Test
	void longDelayIsReportedWithItsLongestEventAndCollections() {
		this.events.record(RelayEvent.CaughtUp.class, 900_000_000);
		run(1000, 0);
		this.events.record(RelayEvent.EntriesReceived.class, 800_000_000);
		this.events.record(RelayEvent.TimerFired.class, 7_000_000);
		run(1250, 1200);
		assertThat(this.notices).containsExactly(delayNotice(1200).with(FieldName.EVENT, "EntriesReceived")
			.with(FieldName.EVENT_MILLISECONDS, 800L)
			.with(FieldName.COLLECTOR_MILLISECONDS, 300L));
	}

	private void run(long expectedAt, long delay) {
		this.monitor.expectRun(expectedAt);
		this.monitor.recordRun(expectedAt + delay);
	}

	private static Measurement measurement(long delay) {
		return new Measurement.TimerRan(Duration.ofMillis(delay));
	}

	private static Notice delayNotice(long milliseconds) {
		return NoticeCode.RELAY_LATE.with(FieldName.MILLISECONDS, milliseconds);
	}

}
