package io.lentilslip.runtime.node;

import java.util.Optional;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Counts the signals that ask a process to stop. The first one drains it, a second one
 * ends it at once. A signal that comes before the process has assembled itself is kept
 * and acted on as soon as there is something to drain; Java's own handling would run
 * shutdown hooks instead, and a second signal would then have no effect. Safe for use by
 * several threads.
 */
public final class StopSignals {

	private static final String[] NAMES = { "TERM", "INT" };

	private Optional<Runnable> atFirst = Optional.empty();

	private Optional<Runnable> atSecond = Optional.empty();

	private int count;

	/**
	 * Sends the signals TERM and INT of this process here from now on.
	 */
	public void install() {
		// A lambda would delay the first handler by the start of Java's support for them.
		SignalHandler handler = new SignalHandler() {

			@Override
			public void handle(Signal signal) {
				signal();
			}

		};
		for (String name : NAMES) {
			Signal.handle(new Signal(name), handler);
		}
	}

	/**
	 * Returns whether a signal has come. A process that has not started yet then need not
	 * start.
	 * @return whether one has come
	 */
	public synchronized boolean isRequested() {
		return this.count > 0;
	}

	/**
	 * Sets what is done at the first signal, and does it at once if that has come.
	 * @param action what is done; runs once
	 */
	public void onFirst(Runnable action) {
		synchronized (this) {
			this.atFirst = Optional.of(action);
			if (this.count == 0) {
				return;
			}
		}
		action.run();
	}

	/**
	 * Sets what is done at the second signal, and does it at once if that has come.
	 * @param action what is done; runs once
	 */
	public void onSecond(Runnable action) {
		synchronized (this) {
			this.atSecond = Optional.of(action);
			if (this.count < 2) {
				return;
			}
		}
		action.run();
	}

	/**
	 * Takes a signal.
	 */
	public void signal() {
		Optional<Runnable> action;
		synchronized (this) {
			this.count++;
			action = switch (this.count) {
				case 1 -> this.atFirst;
				case 2 -> this.atSecond;
				default -> Optional.empty();
			};
		}
		action.ifPresent(Runnable::run);
	}

}
