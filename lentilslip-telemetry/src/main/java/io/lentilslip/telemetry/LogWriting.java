package io.lentilslip.telemetry;

/**
 * The writing of a log by a thread of its own. Implementations are safe for use by
 * several threads.
 */
public interface LogWriting extends AutoCloseable {

	/**
	 * Ends the writing, after what waits is written or some tenths of a second have
	 * passed. Lines that come later are lost.
	 */
	@Override
	void close();

}
