package io.lentilslip.client.engine;

/**
 * An answer that is being generated. Safe for use by several threads.
 */
public interface Generation {

	/**
	 * Gives the answer up and closes the connection, by which the engine stops. Once this
	 * method returned, no further text is delivered; the listener is told the failure
	 * unless it was told the end before. Without effect after the end.
	 */
	void cancel();

}
