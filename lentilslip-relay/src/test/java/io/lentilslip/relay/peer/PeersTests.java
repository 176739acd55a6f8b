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
import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.UpstreamLoad;
import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
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

	private final TrafficCounter traffic = new TrafficCounter();

	private final FastTimers clock = new FastTimers();

	private final Peers peers = new Peers(this.loop, new Heard(), this.clock, this.traffic);

	private final List<Peers> others = new ArrayList<>();

	private List<Member> members = List.of();

	private String peer = "";

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
		onLoop(() -> this.peers.recordChanged(away, Optional.of(PRESENT)));
		onLoop(() -> this.peers.send(away, new PeerMessage.SyncRequest()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("out of reach " + away);
		onLoop(() -> this.peers.recordChanged(away, Optional.empty()));
		assertThat(onLoop(this.peers::knownCount)).isZero();
	}

	// Another relay can't reach this one and drops its address, but most others can. The
	// address has to come back, or relays that start would not find this one.
	@Test
	void relayThatIsDroppedHearsOfIt() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(OWN));
		onLoop(() -> this.peers.recordChanged(OWN, Optional.empty()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("forgotten");
		onLoop(() -> this.peers.snapshotRead(Map.of()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("forgotten");
		onLoop(() -> this.peers.snapshotRead(Map.of(OWN, PRESENT)));
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
		onLoop(() -> this.peers.replicate(address, entries));
		for (int i = 0; i < 50; i++) {
			assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r" + i);
		}
	}

	// A site has many relays, and a program is kept by few. The others hear nothing of
	// its
	// turns, and have no link with a relay that has nothing to say to them.
	@Test
	void entryIsToldToThoseAloneThatItIsFor() throws Exception {
		open();
		String keeper = listed();
		String other = listed();
		onLoop(() -> this.peers.replicate(List.of(keeper), reserved("r")));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + keeper);
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
		assertThat(onLoop(this.peers::connectedCount)).isOne();
		onLoop(() -> this.peers.replicate(List.of(other), reserved("s")));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + other);
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("s");
	}

	// The answer of another relay counts what it was told before the question.
	@Test
	void questionFollowsWhatWasToldBefore() throws Exception {
		open();
		String keeper = listed();
		onLoop(() -> this.peers.replicate(List.of(keeper), reserved("r")));
		onLoop(() -> this.peers.sendRequest(List.of(keeper),
				new PeerMessage.ReservationRequest("t", "p", 1, 2, false)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + keeper);
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("asked t of p");
	}

	// One relay asks another and is answered on the connection that it made: a second one
	// would cost each of them a start's share for each of the others.
	@Test
	void answerComesOnTheConnectionOfTheQuestion() throws Exception {
		open();
		answered();
		assertThat(onLoop(this.peers::connectedCount)).isOne();
		assertThat(onLoop(this.others.getFirst()::connectedCount)).isOne();
	}

	// A relay drains: it leaves the list, and goes on asking keepers for the turns that
	// it
	// took. Cut off then, they would wait for the log instead.
	@Test
	void linkToARelayThatLeavesTheListHoldsUntilItEnds() throws Exception {
		open();
		answered();
		String leaving = this.peer;
		onLoop(() -> this.peers.recordChanged(leaving, Optional.empty()));
		assertThat(onLoop(this.peers::knownCount)).isZero();
		onLoop(() -> this.others.getFirst()
			.send(this.own, new PeerMessage.ReservationRequest("last", "p", 1, 2, false)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("asked last of p");
		onLoop(() -> this.peers.send(leaving, new PeerMessage.ReservationRequest("back", "p", 1, 2, false)));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("asked back of p");
	}

	// A connection goes silent for good without a reset: nothing comes back for what is
	// sent. It is given up, though no error ever shows.
	@Test
	void linkOnWhichNothingComesBackIsGivenUp() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + silent.getLocalPort();
			onLoop(() -> this.peers.recordChanged(address, Optional.of(PRESENT)));
			onLoop(() -> this.peers.send(address, new PeerMessage.SyncRequest()));
			assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + address);
			onLoop(this.peers::checkLiveness);
			assertThat(onLoop(this.peers::connectedCount)).isOne();
			onLoop(() -> this.clock.schedule(Duration.ofMillis(2001), () -> {
			}));
			onLoop(this.peers::checkLiveness);
			assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("lost " + address);
		}
	}

	@Test
	void relaysAreListedWithWhatTheySayOfThemselves() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(OWN));
		Member other = new Member("10.0.0.2:1", "zone-b", 27);
		onLoop(() -> this.peers.snapshotRead(Map.of(OWN, PRESENT, other.address(), RelayCodec.encode(other))));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(OWN), other);
		onLoop(() -> this.peers.recordChanged(other.address(), Optional.empty()));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(OWN));
	}

	// Another writer's record names no address. Taken for one, it would end the following
	// of all.
	@Test
	void recordWithoutAnAddressIsNoRelay() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(OWN));
		onLoop(() -> this.peers
			.snapshotRead(Map.of(OWN, PRESENT, "nowhere", PRESENT, "10.0.0.1:", PRESENT, ":70000", PRESENT)));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(OWN));
		assertThat(onLoop(this.peers::knownCount)).isZero();
	}

	@Test
	void whatGoesOverALinkIsCounted() throws Exception {
		open();
		answered();
		List<Measurement> counted = new ArrayList<>();
		onLoop(() -> this.traffic.publish(counted::add));
		assertThat(counted).map(RelayTraffic.class::cast)
			.filteredOn((traffic) -> traffic.messages() > 0 && traffic.bytes() > 0)
			.extracting(RelayTraffic::kind)
			.containsExactly(RelayTraffic.Kind.LINKS_OUT, RelayTraffic.Kind.LINKS_IN);
	}

	private static LedgerEntry reserved(String request) {
		return new LedgerEntry.Reserved(request, "p", 1, "", List.of(), false);
	}

	private void answered() throws Exception {
		opened();
		while (onLoop(this.others.getFirst()::connectedCount) == 0) {
			Thread.onSpinWait();
		}
		onLoop(() -> this.others.getFirst()
			.send(this.own, new PeerMessage.Usage("t", 7, 0, true, List.of(new UpstreamLoad(1, 2, 3)))));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("told t 7");
	}

	private String opened() throws Exception {
		String address = listed();
		onLoop(() -> this.peers.send(address, new PeerMessage.Heartbeat()));
		assertThat(this.heard.poll(20, TimeUnit.SECONDS)).isEqualTo("linked " + address);
		return address;
	}

	private String listed() throws Exception {
		Peers other = new Peers(this.loop, new Heard(), new FastTimers(), new TrafficCounter());
		this.others.add(other);
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) other.bind(this.group, any).sync().channel().localAddress();
		String address = "127.0.0.1:" + bound.getPort();
		other.setLocalAddress(address);
		onLoop(() -> this.peers.recordChanged(address, Optional.of(PRESENT)));
		this.peer = address;
		return address;
	}

	private void open() throws Exception {
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) this.peers.bind(this.group, any).sync().channel().localAddress();
		this.own = "127.0.0.1:" + bound.getPort();
		onLoop(() -> this.peers.setLocalAddress(this.own));
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
		public void schedule(Duration delay, Runnable step) {
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
		public void permitsRequested(String peer, PermitRequest request) {
			PeersTests.this.heard.add("permits asked by " + peer);
		}

		@Override
		public void permitsGranted(String peer, PermitReply reply) {
			PeersTests.this.heard.add("permits granted by " + peer);
		}

		@Override
		public void entriesReceived(String peer, List<LedgerEntry> entries) {
			entries.forEach((entry) -> PeersTests.this.heard.add(entry.request()));
		}

		@Override
		public void turnWriteRequested(String peer, PeerMessage.TurnWriteRequest request) {
		}

		@Override
		public void textLocationsRequested(String peer, String request) {
		}

		@Override
		public void textLocationsReceived(String peer, List<TurnLocation> turns) {
		}

		@Override
		public void textsRequested(String peer, Set<String> requests) {
			PeersTests.this.heard.add("texts of " + requests);
		}

		@Override
		public void textsReceived(List<TurnText> texts) {
			texts.forEach((turn) -> PeersTests.this.heard.add("text of " + turn.request()));
		}

		@Override
		public void turnWritesAcknowledged(Set<String> requests) {
		}

		@Override
		public void reservationRequested(String peer, PeerMessage.ReservationRequest request) {
			PeersTests.this.heard.add("asked " + request.request() + " of " + request.program());
		}

		@Override
		public void usageReceived(String peer, PeerMessage.Usage usage) {
			PeersTests.this.heard.add("told " + usage.request() + " " + usage.tokens());
		}

		@Override
		public void usageUnavailable(String peer, String request) {
			PeersTests.this.heard.add("unsure " + request);
		}

		@Override
		public void syncRequested(String peer) {
		}

		@Override
		public void membershipUpdated(List<Member> listed) {
			PeersTests.this.members = listed;
		}

		@Override
		public void logDecisionReceived(PeerMessage.LogDecision decision) {
			PeersTests.this.heard.add("place " + decision.request() + " " + decision.admitted());
		}

		@Override
		public void syncCompleted(String peer) {
			PeersTests.this.heard.add("all told");
		}

		@Override
		public void peerConnected(String peer) {
			if (!peer.equals(PeersTests.this.own)) {
				PeersTests.this.heard.add("linked " + peer);
			}
		}

		@Override
		public void peerDisconnected(String peer, String reason) {
			PeersTests.this.heard.add("lost " + peer);
		}

		@Override
		public void peerUnreachable(String peer) {
			PeersTests.this.heard.add("out of reach " + peer);
		}

		@Override
		public void addressRemoved() {
			PeersTests.this.heard.add("forgotten");
		}

	}

}
