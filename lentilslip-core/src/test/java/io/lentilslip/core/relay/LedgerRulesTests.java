package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerRulesTests {

	private static final int RELAYS = 30;

	// The log is late by seconds, as it is when many write much. Each relay that was told
	// of an entry takes that for the death of the relay which told it, though the link to
	// it is up, and writes the entry as well: 30 copies within four seconds, which make
	// the log later still. One or two are enough, for a relay that lives and does not
	// reach the log.
	@Test
	void entryOfARelayThatLivesIsWrittenByFewOthers() {
		List<RelayFixture> relays = told();
		assertThat(written(relays, 4_500)).isBetween(1, RELAYS / 3);
		assertThat(written(relays, 20_000)).isPositive();
	}

	@Test
	void entryOfARelayThatIsLostIsWrittenByAllWhoWereToldOfIt() {
		List<RelayFixture> relays = told();
		relays.forEach((relay) -> relay.handle(new RelayEvent.PeerDisconnected(relay.now(), "teller")));
		assertThat(written(relays, 4_500)).isEqualTo(RELAYS);
	}

	private static List<RelayFixture> told() {
		List<RelayFixture> relays = new ArrayList<>();
		for (int seed = 0; seed < RELAYS; seed++) {
			RelayFixture relay = RelayFixture.ready(seed);
			relay.handle(new RelayEvent.ListenerStarted(relay.now(), "relay" + seed));
			relay.handle(new RelayEvent.PeerConnected(relay.now(), "teller"));
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

	private static int written(List<RelayFixture> relays, long milliseconds) {
		int written = 0;
		for (RelayFixture relay : relays) {
			for (long passed = 0; passed < milliseconds; passed += 500) {
				relay.advance(500);
				written += RelayFixture.written(relay.readFromLog()).size();
			}
		}
		return written;
	}

}
