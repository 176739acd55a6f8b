package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.telemetry.Notices;

/**
 * Measures how late a periodic timer of this process runs, and writes a notice about
 * delays that callers would notice. Such a notice attributes delays to CPU starvation of
 * this process, not to slow peers and upstreams. Used by one thread.
 */
final class TimerDelayMonitor {

	/**
	 * The minimum delay for a notice, above garbage collection pauses of a healthy
	 * process.
	 */
	private static final long MIN_REPORTED_DELAY_MS = 100;

	private static final long NOTICE_INTERVAL_MS = 1000;

	private final Consumer<Measurement> measurements;

	private final Notices notices;

	private OptionalLong expectedAt = OptionalLong.empty();

	private long maxDelay;

	private long nextNoticeAt = Long.MIN_VALUE;

	TimerDelayMonitor(Consumer<Measurement> measurements, Notices notices) {
		this.measurements = measurements;
		this.notices = notices;
	}

	/**
	 * Sets when the timer is expected to run next.
	 * @param at milliseconds of the monotonic clock
	 */
	void expectRun(long at) {
		this.expectedAt = OptionalLong.of(at);
	}

	/**
	 * Records that the timer has run.
	 * @param now milliseconds of the monotonic clock
	 * @return by how much it was late
	 */
	Duration recordRun(long now) {
		if (this.expectedAt.isEmpty()) {
			return Duration.ZERO;
		}
		long delay = Math.max(0, now - this.expectedAt.getAsLong());
		this.expectedAt = OptionalLong.empty();
		this.measurements.accept(new Measurement.TimerRan(Duration.ofMillis(delay)));
		this.maxDelay = Math.max(this.maxDelay, delay);
		if (this.maxDelay >= MIN_REPORTED_DELAY_MS && now >= this.nextNoticeAt) {
			report(now);
		}
		return Duration.ofMillis(delay);
	}

	private void report(long now) {
		this.notices.write(NoticeCode.RELAY_LATE.with(FieldName.MILLISECONDS, this.maxDelay));
		this.maxDelay = 0;
		this.nextNoticeAt = now + NOTICE_INTERVAL_MS;
	}

}
