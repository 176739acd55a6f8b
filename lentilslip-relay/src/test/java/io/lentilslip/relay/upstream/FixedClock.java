package io.lentilslip.relay.upstream;

import java.time.Duration;

import io.lentilslip.relay.store.Timers;

/**
 * Clock that stands still.
 */
final class FixedClock implements Timers {

	@Override
	public void schedule(Duration delay, Runnable task) {
		throw new UnsupportedOperationException();
	}

	@Override
	public long now() {
		return 0;
	}

}
