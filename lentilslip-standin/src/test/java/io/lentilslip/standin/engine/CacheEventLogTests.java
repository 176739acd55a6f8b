package io.lentilslip.standin.engine;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CacheEventLogTests {

	private final AtomicLong clock = new AtomicLong();

	/**
	 * The engine loses one event in two and shows the others late. A reader sees nothing
	 * at first, then the events with a hole in their numbers, and goes on behind them.
	 */
	@Test
	void eventsComeLateAndWithGaps() {
		CacheEventLog log = new CacheEventLog(this.clock::get, 100, 2);
		log.stored(11, 0, 0);
		log.stored(12, 11, 1);
		log.evicted(12);
		this.clock.set(99);
		assertThat(log.page(1, 10).events()).isEmpty();
		this.clock.set(100);
		CacheEventLog.Page page = log.page(1, 10);
		assertThat(page.events()).containsExactly(new CacheEvent.Stored(1, 0, 11, 0, 0),
				new CacheEvent.Evicted(3, 0, 12));
		assertThat(page.next()).isEqualTo(4);
		assertThat(log.page(1, 1).next()).isEqualTo(2);
	}

	@Test
	void loadIsReportedLate() {
		LoadReport idle = new LoadReport(0, 0, 0, 64, 0);
		LoadReport busy = new LoadReport(3, 1, 48, 64, 0);
		LoadReports reports = new LoadReports(1_000, idle);
		reports.record(0, busy);
		assertThat(reports.shown(999)).isEqualTo(idle);
		assertThat(reports.shown(1_000)).isEqualTo(busy);
	}

}
