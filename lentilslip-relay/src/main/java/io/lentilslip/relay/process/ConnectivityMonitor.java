package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.relay.peer.Peers;
import io.lentilslip.relay.store.Timers;

/**
 * What a relay reaches: the store, half of the other relays, or nothing. One that reaches
 * nothing can't know what programs spend elsewhere: several that are cut off together
 * reach each other, and still not those that spend. Used by the event loop's thread.
 */
final class ConnectivityMonitor {

	/**
	 * How long the store may have been silent before it counts as out of reach: more than
	 * a slow answer, less than a second turn of a looping program takes.
	 */
	private static final long STORE_SILENCE_TIMEOUT_MS = 1500;

	/**
	 * How many calls in a row, and for how long, the store has to turn away before it
	 * counts as out of reach. It says so at once, so nothing is gained by waiting; a
	 * single refusal or reset is no outage.
	 */
	private static final int MIN_FAILED_CALLS = 4;

	private static final long MIN_FAILURE_DURATION_MS = 200;

	private final Timers timers;

	private final Peers peers;

	private final Exchanges.EventSink events;

	private long lastStoreSuccessAt;

	private long failingSince;

	private int failures;

	private Connectivity connectivity = Connectivity.LOG;

	ConnectivityMonitor(Timers timers, Peers peers, Exchanges.EventSink events) {
		this.timers = timers;
		this.peers = peers;
		this.events = events;
		this.lastStoreSuccessAt = timers.now();
	}

	void storeCallCompleted(boolean succeeded) {
		long now = this.timers.now();
		if (succeeded) {
			this.lastStoreSuccessAt = now;
			this.failures = 0;
			if (this.connectivity != Connectivity.LOG) {
				check();
			}
			return;
		}
		if (this.failures == 0) {
			this.failingSince = now;
		}
		this.failures++;
	}

	void check() {
		Connectivity now = connectivity();
		if (now != this.connectivity) {
			this.connectivity = now;
			this.events.on(new RelayEvent.ConnectivityChanged(this.timers.now(), now));
		}
	}

	private Connectivity connectivity() {
		if (!storeUnreachable()) {
			return Connectivity.LOG;
		}
		return isolated() ? Connectivity.NOTHING : Connectivity.RELAYS;
	}

	private boolean storeUnreachable() {
		long now = this.timers.now();
		boolean silent = now - this.lastStoreSuccessAt > STORE_SILENCE_TIMEOUT_MS;
		boolean failing = this.failures >= MIN_FAILED_CALLS && now - this.failingSince > MIN_FAILURE_DURATION_MS;
		return silent || failing;
	}

	/**
	 * Returns whether this relay reaches fewer than half of the other relays that it has
	 * something to say to.
	 * @return whether it does
	 */
	boolean isolated() {
		return this.peers.knownCount() == 0 || this.peers.connectedCount() < this.peers.unreachableCount();
	}

}
