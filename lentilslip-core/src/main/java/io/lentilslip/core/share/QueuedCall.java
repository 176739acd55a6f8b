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
 * @param position its place in the order of service
 * @param deadlinePosition its place in the order of deadlines
 */
record QueuedCall<K, T>(FairQueue.Entry<K, T> entry, QueuePosition position, QueuePosition deadlinePosition) {

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
