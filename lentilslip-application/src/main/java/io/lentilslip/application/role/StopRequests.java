package io.lentilslip.application.role;

import io.lentilslip.runtime.node.StopSignals;

/**
 * Where requests to stop a process come from. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface StopRequests {

	/**
	 * Begins to take requests; those that come before something is there to stop are
	 * kept.
	 * @param atSecond what is done at the second request
	 * @return what counts the requests
	 */
	StopSignals take(Runnable atSecond);

	/**
	 * Returns the signals TERM and INT of this Java process.
	 * @param signals counts them; may be installed already
	 * @return the signals
	 */
	static StopRequests of(StopSignals signals) {
		return (atSecond) -> {
			signals.onSecond(atSecond);
			signals.install();
			return signals;
		};
	}

}
