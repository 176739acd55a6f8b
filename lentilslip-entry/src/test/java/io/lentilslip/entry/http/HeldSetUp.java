package io.lentilslip.entry.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Default limits that stop a port between the moment it accepts a connection and the
 * moment it knows it: a port asks for its limits there, on the thread of the connection.
 * A port with two threads accepts on its first one and gives the first connection to the
 * second, so it goes on accepting. Safe for use by several threads.
 */
final class HeldSetUp implements Supplier<HttpLimits>, AutoCloseable {

	private static final long SAFETY_SECONDS = 60;

	private final AtomicBoolean holding = new AtomicBoolean();

	private final CountDownLatch held = new CountDownLatch(1);

	private final CountDownLatch released = new CountDownLatch(1);

	@Override
	public HttpLimits get() {
		if (this.holding.getAndSet(false)) {
			this.held.countDown();
			await(this.released);
		}
		return HttpLimits.DEFAULT;
	}

	void holdNext() {
		this.holding.set(true);
	}

	void awaitHeld() {
		await(this.held);
	}

	void release() {
		this.released.countDown();
	}

	@Override
	public void close() {
		release();
	}

	private static void await(CountDownLatch latch) {
		try {
			if (!latch.await(SAFETY_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException("a connection was not set up");
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
