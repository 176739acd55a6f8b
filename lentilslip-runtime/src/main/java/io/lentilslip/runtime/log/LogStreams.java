package io.lentilslip.runtime.log;

import io.lentilslip.client.log.StreamName;

/**
 * The streams of the log service that the system's processes share.
 */
public final class LogStreams {

	/**
	 * The stream of ledger records: homes, turns and claims of calls.
	 */
	public static final StreamName PROGRAMS = new StreamName("programs");

	/**
	 * The stream of published configurations.
	 */
	public static final StreamName CONFIGURATION = new StreamName("configuration");

	private LogStreams() {
	}

}
