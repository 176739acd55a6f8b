package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
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

	/**
	 * The minimum delay for which the time of collections is reported. Reading it first
	 * loads classes, which would lengthen each start.
	 */
	private static final long MIN_COLLECTOR_DELAY_MS = 1000;

	private final Consumer<Measurement> measurements;

	private final Notices notices;

	private final Supplier<Optional<EventTimes.Longest>> longestEvent;

	private final Supplier<Duration> collectorTime;

	private OptionalLong expectedAt = OptionalLong.empty();

	private long maxDelay;

	private Optional<EventTimes.Longest> cause = Optional.empty();

	private long nextNoticeAt = Long.MIN_VALUE;

	/**
	 * Creates a monitor.
	 * @param measurements receives the delay of each run
	 * @param notices receives notices about delays
	 * @param longestEvent returns the longest event since its last call
	 * @param collectorTime returns the time of collections since its last call
	 */
	TimerDelayMonitor(Consumer<Measurement> measurements, Notices notices,
			Supplier<Optional<EventTimes.Longest>> longestEvent, Supplier<Duration> collectorTime) {
		this.measurements = measurements;
		this.notices = notices;
		this.longestEvent = longestEvent;
		this.collectorTime = collectorTime;
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
		Optional<EventTimes.Longest> longest = this.longestEvent.get();
		if (delay > this.maxDelay) {
			this.maxDelay = delay;
			this.cause = longest;
		}
		if (this.maxDelay >= MIN_REPORTED_DELAY_MS && now >= this.nextNoticeAt) {
			report(now);
		}
		return Duration.ofMillis(delay);
	}

	private void report(long now) {
		Notice notice = NoticeCode.RELAY_LATE.with(FieldName.MILLISECONDS, this.maxDelay);
		if (this.cause.isPresent()) {
			notice = notice.with(FieldName.EVENT, this.cause.get().kind())
				.with(FieldName.EVENT_MILLISECONDS, this.cause.get().time().toMillis());
		}
		if (this.maxDelay >= MIN_COLLECTOR_DELAY_MS) {
			notice = notice.with(FieldName.COLLECTOR_MILLISECONDS, this.collectorTime.get().toMillis());
		}
		this.notices.write(notice);
		this.maxDelay = 0;
		this.cause = Optional.empty();
		this.nextNoticeAt = now + NOTICE_INTERVAL_MS;
	}

}
