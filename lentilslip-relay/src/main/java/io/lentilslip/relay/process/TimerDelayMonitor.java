package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.telemetry.Notices;

/**
 * Tells how late a timer of this process runs: each run as a measurement, and as a notice
 * what a caller would feel. Without it, a process that gets too little of its processor
 * looks like peers and upstreams that are slow. Used by one thread.
 */
final class TimerDelayMonitor {

	/**
	 * The least that is told: collector pauses of a process that is well stay below it.
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
	 * Notes when the timer is to run next.
	 * @param at milliseconds of the steady clock
	 */
	void expectRun(long at) {
		this.expectedAt = OptionalLong.of(at);
	}

	/**
	 * Notes that the timer runs.
	 * @param now milliseconds of the steady clock
	 */
	void recordRun(long now) {
		if (this.expectedAt.isEmpty()) {
			return;
		}
		long delay = Math.max(0, now - this.expectedAt.getAsLong());
		this.expectedAt = OptionalLong.empty();
		this.measurements.accept(new Measurement.TimerRan(Duration.ofMillis(delay)));
		this.maxDelay = Math.max(this.maxDelay, delay);
		if (this.maxDelay >= MIN_REPORTED_DELAY_MS && now >= this.nextNoticeAt) {
			report(now);
		}
	}

	private void report(long now) {
		this.notices.write(NoticeCode.RELAY_LATE.with(FieldName.MILLISECONDS, this.maxDelay));
		this.maxDelay = 0;
		this.nextNoticeAt = now + NOTICE_INTERVAL_MS;
	}

}
