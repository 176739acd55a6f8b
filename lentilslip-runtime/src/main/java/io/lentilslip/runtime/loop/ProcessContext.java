package io.lentilslip.runtime.loop;

import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;

/**
 * What the parts of a process's shell share: time, chance, and where they report to.
 * Immutable; safe for use by several threads, as each component is.
 *
 * @param clock the clock
 * @param seeds the source of random numbers
 * @param pause how a pause is made
 * @param measurements where measurements go
 * @param notices where numbered events go
 * @param termination what is done if a thread of the shell fails; it would else be
 * missing without a sign, and calls that wait for it would hang
 */
public record ProcessContext(MonotonicClock clock, SeedSource seeds, Pause pause, Consumer<Measurement> measurements,
		Consumer<Notice> notices, Termination termination) {

	/**
	 * Returns the context of a process of its own, which a failure ends.
	 * @param measurements where measurements go
	 * @param notices where numbered events go
	 * @return the context with the system's clock and random numbers
	 */
	public static ProcessContext ofSystem(Consumer<Measurement> measurements, Consumer<Notice> notices) {
		return new ProcessContext(MonotonicClock.ofSystem(), SeedSource.ofSystem(), Pause.ofThread(), measurements,
				notices, new Termination.ForProcess(notices));
	}

	/**
	 * Creates a thread of the shell.
	 * @param name the name of the thread
	 * @param work what it does
	 * @return the thread, which has not started
	 */
	public Thread thread(String name, Runnable work) {
		return Thread.ofPlatform()
			.name(name)
			.daemon(true)
			.uncaughtExceptionHandler((thread, failure) -> this.termination.terminate(failure))
			.unstarted(work);
	}

	/**
	 * Ends a thread of the shell by interrupting it, and waits for its end unless the
	 * thread itself asks.
	 * @param thread the thread
	 */
	public static void end(Thread thread) {
		thread.interrupt();
		if (Thread.currentThread() == thread) {
			return;
		}
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
