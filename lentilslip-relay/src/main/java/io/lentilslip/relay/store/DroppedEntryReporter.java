package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.telemetry.Notices;

/**
 * Tells of entries that a writer gave up: the first at once, and those of the second
 * after a notice by one more. Used by the event loop's thread.
 */
public final class DroppedEntryReporter {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private final Timers timers;

	private final Notices notices;

	private final Consumer<Measurement> measurements;

	private long unreported;

	private boolean throttled;

	/**
	 * Creates a teller.
	 * @param timers runs steps later
	 * @param notices takes notices
	 * @param measurements takes measurements
	 */
	public DroppedEntryReporter(Timers timers, Notices notices, Consumer<Measurement> measurements) {
		this.timers = timers;
		this.notices = notices;
		this.measurements = measurements;
	}

	/**
	 * Takes that entries were given up.
	 * @param entries how many
	 */
	public void recordDropped(int entries) {
		this.measurements.accept(new Measurement.EntriesGivenUp(entries));
		this.unreported += entries;
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
