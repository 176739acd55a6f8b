package io.lentilslip.relay.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.relay.net.Traffic;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeersTests {

	private static final String OWN = "10.0.0.1:1";

	private static final byte[] PRESENT = { 1 };

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

	private String own = OWN;

	private final Traffic traffic = new Traffic();

	private final Peers peers = new Peers(this.loop, new Heard(), new FastTimers(), this.traffic);

	@AfterEach
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	// A VM was taken away, and its address stays in the store. All relays would try it
	// for ever, and so would each that comes; so it is told as out of reach.
	@Test
	void relayThatIsAwayForLongIsToldAsOutOfReach() throws Exception {
		String away;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			away = "127.0.0.1:" + socket.getLocalPort();
		}
		onLoop(() -> this.peers.changed(away, Optional.of(PRESENT)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("out of reach " + away);
		onLoop(() -> this.peers.changed(away, Optional.empty()));
		assertThat(onLoop(this.peers::known)).isZero();
	}

	// Another relay can't reach this one and drops its address, but most others can. The
	// address has to come back, or relays that start would not find this one.
	@Test
	void relayThatIsDroppedHearsOfIt() throws Exception {
		onLoop(() -> this.peers.name(OWN));
		onLoop(() -> this.peers.changed(OWN, Optional.empty()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("forgotten");
		onLoop(() -> this.peers.all(Map.of()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("forgotten");
		onLoop(() -> this.peers.all(Map.of(OWN, PRESENT)));
		assertThat(onLoop(this.heard::isEmpty)).isTrue();
	}

	@Test
	void relayThatIsLinkedIsToldAllThatItIsGiven() throws Exception {
		open();
		String address = opened();
		List<LedgerEntry> entries = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			entries.add(new LedgerEntry.Settled("r" + i, "p", 1, Optional.empty()));
		}
		onLoop(() -> this.peers.tell(address, entries));
		for (int i = 0; i < 50; i++) {
			assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r" + i);
		}
	}

	// A turn that contends counts from its place in the log on. Told all the same, it
	// would
	// wake every other relay for nothing.
	@Test
	void turnThatContendsIsNotTold() throws Exception {
		open();
		opened();
		onLoop(() -> this.peers.tell(reserved("c", true)));
		onLoop(() -> this.peers.tell(reserved("r", false)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
	}

	// The answer of another relay counts what it was told before the question.
	@Test
	void questionFollowsWhatIsUntold() throws Exception {
		open();
		opened();
		onLoop(() -> this.peers.tell(reserved("r", false)));
		onLoop(() -> this.peers.ask(new PeerMessage.Question("t", "p", 1, 2, false)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("asked t of p");
	}

	@Test
	void whatGoesOverALinkIsCounted() throws Exception {
		open();
		opened();
		List<Measurement> counted = new ArrayList<>();
		onLoop(() -> this.traffic.publish(counted::add));
		assertThat(counted).map(RelayTraffic.class::cast)
			.filteredOn((traffic) -> traffic.messages() > 0 && traffic.bytes() > 0)
			.extracting(RelayTraffic::kind)
			.containsExactly(RelayTraffic.Kind.LINKS_OUT, RelayTraffic.Kind.LINKS_IN);
	}

	private static LedgerEntry reserved(String request, boolean contending) {
		return new LedgerEntry.Reserved(request, "p", 1, "", List.of(), contending);
	}

	private String opened() throws Exception {
		Peers other = new Peers(this.loop, new Heard(), new FastTimers(), new Traffic());
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) other.open(this.group, any).sync().channel().localAddress();
		String address = "127.0.0.1:" + bound.getPort();
		other.name(address);
		onLoop(() -> this.peers.changed(address, Optional.of(PRESENT)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + address);
		return address;
	}

	private void open() throws Exception {
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) this.peers.open(this.group, any).sync().channel().localAddress();
		this.own = "127.0.0.1:" + bound.getPort();
		onLoop(() -> this.peers.name(this.own));
	}

	private void onLoop(Runnable step) throws Exception {
		this.loop.submit(step).get();
	}

	private <T> T onLoop(Callable<T> step) throws Exception {
		return this.loop.submit(step).get();
	}

	/**
	 * A clock on which each pause is over at once. Used by the event loop's thread.
	 */
	private final class FastTimers implements Timers {

		private long now;

		@Override
		public void after(Duration delay, Runnable step) {
			this.now += delay.toMillis();
			PeersTests.this.loop.execute(step);
		}

		@Override
		public long now() {
			return this.now;
		}

	}

	/**
	 * Keeps what was heard. Used by the event loop's thread.
	 */
	private final class Heard implements PeerListener {

		@Override
		public void entries(String peer, List<LedgerEntry> entries) {
			entries.forEach((entry) -> PeersTests.this.heard.add(entry.request()));
		}

		@Override
		public void helpAsked(String peer, PeerMessage.Help help) {
		}

		@Override
		public void textsAsked(String peer, Set<String> requests) {
			PeersTests.this.heard.add("texts of " + requests);
		}

		@Override
		public void textsTold(List<TurnText> texts) {
			texts.forEach((turn) -> PeersTests.this.heard.add("text of " + turn.request()));
		}

		@Override
		public void stored(Set<String> requests) {
		}

		@Override
		public void takenAsked(String peer, PeerMessage.Question question) {
			PeersTests.this.heard.add("asked " + question.request() + " of " + question.program());
		}

		@Override
		public void takenTold(String peer, PeerMessage.Taken taken) {
			PeersTests.this.heard.add("told " + taken.request() + " " + taken.tokens());
		}

		@Override
		public void placeTold(PeerMessage.Place place) {
			PeersTests.this.heard.add("place " + place.request() + " " + place.held());
		}

		@Override
		public void allTold(String peer) {
			PeersTests.this.heard.add("all told");
		}

		@Override
		public void linked(String peer) {
			if (!peer.equals(PeersTests.this.own)) {
				PeersTests.this.heard.add("linked " + peer);
			}
		}

		@Override
		public void lost(String peer, String reason) {
		}

		@Override
		public void outOfReach(String peer) {
			PeersTests.this.heard.add("out of reach " + peer);
		}

		@Override
		public void forgotten() {
			PeersTests.this.heard.add("forgotten");
		}

	}

}
