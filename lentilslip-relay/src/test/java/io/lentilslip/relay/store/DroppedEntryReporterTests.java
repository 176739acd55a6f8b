package io.lentilslip.relay.store;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DroppedEntryReporterTests {

	private final FakeStore timers = new FakeStore();

	private final List<Notice> notices = new ArrayList<>();

	private final List<Measurement> measured = new ArrayList<>();

	private final DroppedEntryReporter reporter = new DroppedEntryReporter(this.timers, this.notices::add,
			this.measured::add);

	@Test
	void firstDropIsReportedAtOnceAndAllAreMeasured() {
		this.reporter.recordDropped(2);
		this.reporter.recordDropped(1);
		assertThat(this.notices).containsExactly(notice(2));
		assertThat(this.measured).containsExactly(new Measurement.EntriesGivenUp(2), new Measurement.EntriesGivenUp(1));
	}

	// During an outage each new entry may drop an older one. At most one notice a second
	// is written, and the last drops must be reported even if none follow.
	@Test
	void laterDropsAreReportedOncePerSecond() {
		this.reporter.recordDropped(2);
		this.reporter.recordDropped(3);
		this.reporter.recordDropped(4);
		this.timers.advance(999);
		assertThat(this.notices).containsExactly(notice(2));
		this.timers.advance(1);
		assertThat(this.notices).containsExactly(notice(2), notice(7));
		this.timers.advance(1000);
		this.timers.advance(1000);
		assertThat(this.notices).hasSize(2);
		this.reporter.recordDropped(1);
		assertThat(this.notices).containsExactly(notice(2), notice(7), notice(1));
	}

	private static Notice notice(long entries) {
		return NoticeCode.ENTRIES_GIVEN_UP.with(FieldName.COUNT, entries);
	}

}
