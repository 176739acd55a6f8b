package io.lentilslip.runtime.loop;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.lentilslip.core.role.NodeEvent;

/**
 * Tells a loop at an interval that time has passed. A tick that finds the mailbox full is
 * left out: ticks that pile up behind a slow reducer would slow it further, and the next
 * one carries the later time anyway. Safe for use by several threads.
 */
public final class Ticker implements AutoCloseable {

	private final ScheduledFuture<?> schedule;

	private Ticker(ScheduledFuture<?> schedule) {
		this.schedule = schedule;
	}

	/**
	 * Starts a ticker.
	 * @param <E> the type of the loop's events
	 * @param loop the loop that is told
	 * @param wrapper what makes an event of the loop from an event of a process
	 * @param interval the time between two ticks
	 * @param clock the clock
	 * @param seeds the source of the seeds that ticks carry
	 * @param scheduler what runs the ticks
	 * @return the ticker
	 */
	public static <E> Ticker start(ReducerLoop<?, E, ?> loop, Function<NodeEvent, E> wrapper, Duration interval,
			MonotonicClock clock, SeedSource seeds, ScheduledExecutorService scheduler) {
		Runnable tick = () -> loop.offer(wrapper.apply(new NodeEvent.Ticked(clock.now(), seeds.next())));
		long nanos = interval.toNanos();
		return new Ticker(scheduler.scheduleWithFixedDelay(tick, nanos, nanos, TimeUnit.NANOSECONDS));
	}

	/**
	 * Ends the ticks.
	 */
	@Override
	public void close() {
		this.schedule.cancel(false);
	}

}
