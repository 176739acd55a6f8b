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

	private final FakeStore time = new FakeStore();

	private final List<Notice> told = new ArrayList<>();

	private final List<Measurement> measured = new ArrayList<>();

	private final DroppedEntryReporter givenUp = new DroppedEntryReporter(this.time, this.told::add,
			this.measured::add);

	@Test
	void firstIsToldAtOnceAndAllAreCounted() {
		this.givenUp.recordDropped(2);
		this.givenUp.recordDropped(1);
		assertThat(this.told).containsExactly(notice(2));
		assertThat(this.measured).containsExactly(new Measurement.EntriesGivenUp(2), new Measurement.EntriesGivenUp(1));
	}

	// A store is away, and each entry that comes drops an older one, hundreds a second.
	// One line a second says how many, and the last ones are told too, although nothing
	// comes after them.
	@Test
	void laterOnesAreToldOnceASecond() {
		this.givenUp.recordDropped(2);
		this.givenUp.recordDropped(3);
		this.givenUp.recordDropped(4);
		this.time.pass(999);
		assertThat(this.told).containsExactly(notice(2));
		this.time.pass(1);
		assertThat(this.told).containsExactly(notice(2), notice(7));
		this.time.pass(1000);
		this.time.pass(1000);
		assertThat(this.told).hasSize(2);
		this.givenUp.recordDropped(1);
		assertThat(this.told).containsExactly(notice(2), notice(7), notice(1));
	}

	private static Notice notice(long entries) {
		return NoticeCode.ENTRIES_GIVEN_UP.with(FieldName.COUNT, entries);
	}

}
