package io.lentilslip.runtime.loop;

import java.security.SecureRandom;

/**
 * A source of random numbers. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface SeedSource {

	/**
	 * Returns a random number.
	 * @return the number
	 */
	long next();

	/**
	 * Returns a source whose numbers differ from process to process, as incarnations
	 * must: many VMs are started from one image in the same moment.
	 * @return the source
	 */
	static SeedSource ofSystem() {
		SecureRandom random = new SecureRandom();
		return random::nextLong;
	}

}
