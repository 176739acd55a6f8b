package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.relay.peer.Peers;
import io.lentilslip.relay.store.Timers;

/**
 * Tracks which parts of the site this relay reaches: the log, half of the other relays,
 * or neither. An isolated relay cannot know the usage recorded by others, even if it
 * reaches some relays that are cut off with it. Used by the event loop's thread.
 */
final class ConnectivityMonitor {

	/**
	 * The time without a successful call after which the store counts as unreachable.
	 * Longer than a slow response, shorter than the time in which a looping program runs
	 * a second turn.
	 */
	private static final long STORE_IDLE_TIMEOUT_MS = 1500;

	/**
	 * The number of consecutive failed calls, and the minimum time since the first of
	 * them, after which the store counts as unreachable. Detects a store that rejects
	 * calls before the idle timeout does. A single rejection or reset is no outage.
	 */
	private static final int MIN_FAILED_CALLS = 4;

	private static final long MIN_FAILURE_DURATION_MS = 200;

	private final Timers timers;

	private final Peers peers;

	private final Exchanges.EventListener events;

	private long lastStoreSuccessAt;

	private long failingSince;

	private int failures;

	private Connectivity connectivity = Connectivity.LOG;

	ConnectivityMonitor(Timers timers, Peers peers, Exchanges.EventListener events) {
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
		Connectivity current = connectivity();
		if (current != this.connectivity) {
			this.connectivity = current;
			this.events.on(new RelayEvent.ConnectivityChanged(this.timers.now(), current));
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
		boolean idle = now - this.lastStoreSuccessAt > STORE_IDLE_TIMEOUT_MS;
		boolean failing = this.failures >= MIN_FAILED_CALLS && now - this.failingSince > MIN_FAILURE_DURATION_MS;
		return idle || failing;
	}

	/**
	 * Returns whether this relay is connected to fewer than half of the relays that it
	 * needs.
	 * @return whether it is
	 */
	boolean isolated() {
		return this.peers.knownCount() == 0 || this.peers.connectedCount() < this.peers.unreachableCount();
	}

}
