package io.lentilslip.core.share;

import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;

/**
 * Immutable waiting call with its positions in a queue. Thread-safe if the call is.
 *
 * @param <K> the type of the call's identity
 * @param <T> the type of the call
 * @param entry the call
 * @param position its position in the order of service
 * @param deadlinePosition its position in the order of deadlines
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
	 * @return whether it has the interactive service class
	 */
	boolean isInteractive() {
		return this.entry.serviceClass() == ServiceClass.INTERACTIVE;
	}

}
