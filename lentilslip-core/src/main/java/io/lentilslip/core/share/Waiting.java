package io.lentilslip.core.share;

import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;

/**
 * A waiting call and its places in the lines of a queue. Immutable and safe for use by
 * several threads if the call is.
 *
 * @param <K> the type of the call's identity
 * @param <T> the type of the call
 * @param entry the call
 * @param turn its place in the order of service
 * @param due its place in the order of deadlines
 */
record Waiting<K, T>(FairQueue.Entry<K, T> entry, Place turn, Place due) {

	/**
	 * Returns the group of the call.
	 * @return the group
	 */
	GroupName group() {
		return this.entry.group();
	}

	/**
	 * Returns whether the call is interactive.
	 * @return whether somebody waits for it
	 */
	boolean isInteractive() {
		return this.entry.serviceClass() == ServiceClass.INTERACTIVE;
	}

}
