package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerRulesTests {

	private static final int RELAYS = 30;

	// The log is slow. If all receivers appended the entry although its sender is
	// connected, the duplicates would delay the log further.
	@Test
	void entryOfConnectedRelayIsAppendedByFewOthers() {
		List<RelayFixture> relays = relaysWithReplicatedEntry();
		assertThat(countAppended(relays, 4_500)).isBetween(1, RELAYS / 3);
		assertThat(countAppended(relays, 20_000)).isPositive();
	}

	@Test
	void entryOfDisconnectedRelayIsAppendedByAllReceivers() {
		List<RelayFixture> relays = relaysWithReplicatedEntry();
		relays.forEach((relay) -> relay.handle(new RelayEvent.PeerDisconnected(relay.now(), "sender")));
		assertThat(countAppended(relays, 4_500)).isEqualTo(RELAYS);
	}

	private static List<RelayFixture> relaysWithReplicatedEntry() {
		List<RelayFixture> relays = new ArrayList<>();
		for (int seed = 0; seed < RELAYS; seed++) {
			RelayFixture relay = RelayFixture.ready(seed);
			relay.handle(new RelayEvent.ListenerStarted(relay.now(), "relay" + seed));
			relay.handle(new RelayEvent.PeerConnected(relay.now(), "sender"));
			for (int peer = 0; peer < RELAYS; peer++) {
				if (peer != seed) {
					relay.handle(new RelayEvent.PeerConnected(relay.now(), "relay" + peer));
				}
			}
			relay.readFromLog();
			relay.readFromPeer(RelayFixture.settledTurn("t1", null));
			relays.add(relay);
		}
		return relays;
	}

	private static int countAppended(List<RelayFixture> relays, long milliseconds) {
		int appended = 0;
		for (RelayFixture relay : relays) {
			for (long passed = 0; passed < milliseconds; passed += 500) {
				relay.advance(500);
				appended += RelayFixture.written(relay.readFromLog()).size();
			}
		}
		return appended;
	}

}
