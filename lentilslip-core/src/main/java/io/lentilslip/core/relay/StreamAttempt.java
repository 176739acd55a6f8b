package io.lentilslip.core.relay;

/**
 * Immutable attempt of a request for a stream. Safe for use by several threads.
 *
 * @param version the software version of the upstream that it was sent to
 * @param number the number of the attempt, which increases with each one of the request
 */
public record StreamAttempt(SoftwareVersion version, int number) {

	/**
	 * Returns whether this attempt was sent later. Only the last one can have brought the
	 * first event, or else has the version of the one that did.
	 * @param other another attempt of the same request
	 * @return whether it was
	 */
	boolean supersedes(StreamAttempt other) {
		return this.number > other.number;
	}

}
