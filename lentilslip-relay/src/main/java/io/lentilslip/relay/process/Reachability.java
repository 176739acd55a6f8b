package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.relay.peer.Peers;
import io.lentilslip.relay.store.Timers;

/**
 * Whether a relay reaches the store or another relay. One that reaches neither can't know
 * what programs spend elsewhere. Used by the event loop's thread.
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
		boolean now = storeLost && this.peers.up() == 0;
		if (now != this.isolated) {
			this.isolated = now;
			this.events.on(new RelayEvent.Isolation(this.timers.now(), now));
		}
	}

}
