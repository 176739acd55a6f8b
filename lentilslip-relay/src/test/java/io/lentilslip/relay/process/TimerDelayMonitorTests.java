package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TimerDelayMonitorTests {

	private final List<Measurement> measured = new ArrayList<>();

	private final List<Notice> told = new ArrayList<>();

	private final TimerDelayMonitor watch = new TimerDelayMonitor(this.measured::add, this.told::add);

	@Test
	void firstRunWasNotPlanned() {
		this.watch.recordRun(900_000);
		assertThat(this.measured).isEmpty();
		assertThat(this.told).isEmpty();
	}

	@Test
	void everyRunIsMeasuredAndOnlyALateOneTold() {
		run(1000, 0);
		run(1250, 99);
		run(1600, 100);
		assertThat(this.measured).containsExactly(ran(0), ran(99), ran(100));
		assertThat(this.told).containsExactly(late(100));
	}

	@Test
	void runBeforeItsTimeIsNotLate() {
		run(1000, -1);
		assertThat(this.measured).containsExactly(ran(0));
	}

	// A relay is starved for seconds, and each of its timers is late. One line a second
	// says so, by the worst of them; the worst of the last second is told too, although
	// the timer that tells it is on time again.
	@Test
	void latenessWithinASecondIsToldByItsLargest() {
		run(1000, 200);
		run(1450, 700);
		run(2100, 99);
		assertThat(this.told).containsExactly(late(200));
		run(2200, 0);
		run(3400, 0);
		assertThat(this.told).containsExactly(late(200), late(700));
	}

	private void run(long planned, long late) {
		this.watch.expectRun(planned);
		this.watch.recordRun(planned + late);
	}

	private static Measurement ran(long late) {
		return new Measurement.TimerRan(Duration.ofMillis(late));
	}

	private static Notice late(long milliseconds) {
		return NoticeCode.RELAY_LATE.with(FieldName.MILLISECONDS, milliseconds);
	}

}
