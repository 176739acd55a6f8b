package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.lentilslip.relay.net.ArrivalClock;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.EventLoop;

/**
 * Schedules tasks on an event loop. A task that is late, because the loop was busy or the
 * process was paused, runs after the loop has read its sockets once more. Otherwise a
 * busy relay would give up on replies that have arrived, and escalate or retry instead,
 * which makes all relays busier. Used by the event loop's thread.
 */
final class EventLoopTimers implements Timers {

	/**
	 * The delay up to which a task is on time.
	 */
	private static final long MAX_DELAY_MS = 5;

	private final EventLoop loop;

	private final ArrivalClock arrivalClock;

	private final LongSupplier clock;

	/**
	 * Creates timers.
	 * @param loop the event loop
	 * @param arrivalClock the select strategy of the loop
	 * @param clock returns the milliseconds of a monotonic clock
	 */
	EventLoopTimers(EventLoop loop, ArrivalClock arrivalClock, LongSupplier clock) {
		this.loop = loop;
		this.arrivalClock = arrivalClock;
		this.clock = clock;
	}

	@Override
	public void schedule(Duration delay, Runnable task) {
		long dueAt = now() + delay.toMillis();
		this.loop.schedule(() -> {
			if (now() - dueAt <= MAX_DELAY_MS) {
				task.run();
				return;
			}
			// Run by the next iteration of the loop, which begins with its sockets.
			this.loop.schedule(task, 0, TimeUnit.MILLISECONDS);
		}, delay.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public long now() {
		return this.clock.getAsLong();
	}

	@Override
	public long earliestArrival() {
		return this.arrivalClock.earliestArrival();
	}

}
