package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.relay.peer.Peers;
import io.lentilslip.relay.store.Timers;

/**
 * Whether a relay reaches the store or half of the other relays. One that reaches neither
 * can't know what programs spend elsewhere: several that are cut off together reach each
 * other, and still not those that spend. Used by the event loop's thread.
 */
final class Reachability {

	/**
	 * How long the store may have failed before it counts as out of reach: more than a
	 * slow answer, less than a second turn of a looping program takes.
	 */
	private static final long STORE_PATIENCE_MS = 1500;

	private final Timers timers;

	private final Peers peers;

	private final Exchanges.EventSink events;

	private long storeAnsweredAt;

	private boolean isolated;

	Reachability(Timers timers, Peers peers, Exchanges.EventSink events) {
		this.timers = timers;
		this.peers = peers;
		this.events = events;
		this.storeAnsweredAt = timers.now();
	}

	void storeAnswered(boolean well) {
		if (well) {
			this.storeAnsweredAt = this.timers.now();
		}
	}

	void check() {
		boolean storeLost = this.timers.now() - this.storeAnsweredAt > STORE_PATIENCE_MS;
		boolean alone = 2 * this.peers.up() < Math.max(1, this.peers.known());
		boolean now = storeLost && alone;
		if (now != this.isolated) {
			this.isolated = now;
			this.events.on(new RelayEvent.Isolation(this.timers.now(), now));
		}
	}

}
