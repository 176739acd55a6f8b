package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.telemetry.Notices;

/**
 * Reports dropped entries at a limited rate: one notice at once, then at most one a
 * second with the number of entries dropped since the previous one. Used by the event
 * loop's thread.
 */
public final class DroppedEntryReporter {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private final Timers timers;

	private final Notices notices;

	private final Consumer<Measurement> measurements;

	private long unreported;

	private boolean throttled;

	/**
	 * Creates a reporter.
	 * @param timers schedules notices
	 * @param notices receives notices
	 * @param measurements receives measurements
	 */
	public DroppedEntryReporter(Timers timers, Notices notices, Consumer<Measurement> measurements) {
		this.timers = timers;
		this.notices = notices;
		this.measurements = measurements;
	}

	/**
	 * Records that entries were dropped.
	 * @param count the number of entries
	 */
	public void recordDropped(int count) {
		this.measurements.accept(new Measurement.EntriesGivenUp(count));
		this.unreported += count;
		if (!this.throttled) {
			report();
		}
	}

	private void report() {
		this.throttled = this.unreported > 0;
		if (this.throttled) {
			this.notices.write(NoticeCode.ENTRIES_GIVEN_UP.with(FieldName.COUNT, this.unreported));
			this.unreported = 0;
			this.timers.schedule(INTERVAL, this::report);
		}
	}

}
