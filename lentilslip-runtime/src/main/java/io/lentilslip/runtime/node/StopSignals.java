package io.lentilslip.runtime.node;

import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import sun.misc.Signal;

/**
 * Counts the signals that ask a process to stop. The first one drains it, a second one
 * ends it at once. A signal that comes before the process has assembled itself is kept
 * and acted on as soon as there is something to drain; Java's own handling would run
 * shutdown hooks instead, and a second signal would then have no effect. Safe for use by
 * several threads.
 */
public final class StopSignals {

	/**
	 * The exit status after a second signal: that of a process which TERM ended.
	 */
	public static final int STATUS = 143;

	private static final String[] NAMES = { "TERM", "INT" };

	private final Runnable atSecond;

	private Optional<Runnable> atFirst = Optional.empty();

	private int count;

	/**
	 * Creates a counter that has seen no signal.
	 * @param atSecond what is done at the second signal
	 */
	public StopSignals(Runnable atSecond) {
		this.atSecond = atSecond;
	}

	/**
	 * Returns a counter whose second signal is reported and ends this process at once.
	 * @param role the role of the process
	 * @param notices where the signal is reported
	 * @return the counter, which has seen no signal
	 */
	public static StopSignals ofProcess(String role, Consumer<Notice> notices) {
		return new StopSignals(() -> {
			try {
				notices.accept(NoticeCode.SECOND_STOP_SIGNAL.with(FieldName.ROLE, role));
			}
			finally {
				Runtime.getRuntime().halt(STATUS);
			}
		});
	}

	/**
	 * Sends the signals TERM and INT of this process here from now on.
	 */
	public void install() {
		for (String name : NAMES) {
			Signal.handle(new Signal(name), (signal) -> signal());
		}
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
	 * Takes a signal.
	 */
	public void signal() {
		Optional<Runnable> action;
		synchronized (this) {
			this.count++;
			action = switch (this.count) {
				case 1 -> this.atFirst;
				case 2 -> Optional.of(this.atSecond);
				default -> Optional.empty();
			};
		}
		action.ifPresent(Runnable::run);
	}

}
