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
import io.lentilslip.core.relay.RunId;
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

	private static final String LOCAL_ADDRESS = "10.0.0.1:1";

	private static final byte[] MEMBER_RECORD = { 1 };

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	private String localAddress = LOCAL_ADDRESS;

	private final TrafficCounter traffic = new TrafficCounter();

	private final ImmediateTimers timers = new ImmediateTimers();

	private final Peers peers = new Peers(this.loop, new RecordingListener(), this.timers, this.traffic);

	private final List<Peers> others = new ArrayList<>();

	private List<Member> members = List.of();

	private String peerAddress = "";

	@AfterEach
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	// The address of a removed VM must not stay in the store, where every relay would
	// keep connecting to it.
	@Test
	void unreachableRelayIsReported() throws Exception {
		String unreachable;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			unreachable = "127.0.0.1:" + socket.getLocalPort();
		}
		onLoop(() -> this.peers.recordChanged(unreachable, Optional.of(MEMBER_RECORD)));
		onLoop(() -> this.peers.send(unreachable, new PeerMessage.SyncRequest()));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("unreachable " + unreachable);
		onLoop(() -> this.peers.recordChanged(unreachable, Optional.empty()));
		assertThat(onLoop(this.peers::knownCount)).isZero();
	}

	// A relay that cannot reach this one may remove its address while others still reach
	// it. Unless it is registered again, new relays cannot find this one.
	@Test
	void removalOfTheOwnAddressIsReported() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(LOCAL_ADDRESS));
		onLoop(() -> this.peers.recordChanged(LOCAL_ADDRESS, Optional.empty()));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("address removed");
		onLoop(() -> this.peers.snapshotRead(Map.of()));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("address removed");
		onLoop(() -> this.peers.snapshotRead(Map.of(LOCAL_ADDRESS, MEMBER_RECORD)));
		assertThat(onLoop(this.received::isEmpty)).isTrue();
	}

	@Test
	void allEntriesAreReplicatedToAConnectedRelay() throws Exception {
		bind();
		String address = connectPeer();
		List<LedgerEntry> entries = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			entries.add(new LedgerEntry.Settled(RunId.unnumbered("r" + i), "p", 1, Optional.empty()));
		}
		onLoop(() -> this.peers.replicate(address, entries));
		for (int i = 0; i < 50; i++) {
			assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("r" + i);
		}
	}

	// Only the replicas of a program receive its entries; relays without common programs
	// need no link.
	@Test
	void entryIsReplicatedOnlyToTheGivenRelays() throws Exception {
		bind();
		String replica = addPeer();
		String other = addPeer();
		onLoop(() -> this.peers.replicate(List.of(replica), reserved("r")));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("connected " + replica);
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
		assertThat(onLoop(this.peers::connectedCount)).isOne();
		onLoop(() -> this.peers.replicate(List.of(other), reserved("s")));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("connected " + other);
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("s");
	}

	// The response to a reservation request has to cover the entries sent before it.
	@Test
	void requestFollowsEntriesSentBefore() throws Exception {
		bind();
		String replica = addPeer();
		onLoop(() -> this.peers.replicate(List.of(replica), reserved("r")));
		onLoop(() -> this.peers.sendRequest(List.of(replica),
				new PeerMessage.ReservationRequest(RunId.unnumbered("t"), "p", 1, 2, false)));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("connected " + replica);
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("r");
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("requested t of p");
	}

	// A response has to use the connection of its request; a second connection per pair
	// of relays doubles the cost of a restart.
	@Test
	void responseUsesTheConnectionOfTheRequest() throws Exception {
		bind();
		sendUsage();
		assertThat(onLoop(this.peers::connectedCount)).isOne();
		assertThat(onLoop(this.others.getFirst()::connectedCount)).isOne();
	}

	// A draining relay leaves the list, but its turns in flight still need reservations.
	// Without the link they would wait for the log.
	@Test
	void linkToAnUnlistedRelayStaysOpen() throws Exception {
		bind();
		sendUsage();
		String leaving = this.peerAddress;
		onLoop(() -> this.peers.recordChanged(leaving, Optional.empty()));
		assertThat(onLoop(this.peers::knownCount)).isZero();
		onLoop(() -> this.others.getFirst()
			.send(this.localAddress, new PeerMessage.ReservationRequest(RunId.unnumbered("last"), "p", 1, 2, false)));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("requested last of p");
		onLoop(() -> this.peers.send(leaving,
				new PeerMessage.ReservationRequest(RunId.unnumbered("back"), "p", 1, 2, false)));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("requested back of p");
	}

	// A connection may stop delivering data without an error. It must be closed once a
	// response is overdue.
	@Test
	void linkWithAnOverdueResponseIsClosed() throws Exception {
		try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + unresponsive.getLocalPort();
			onLoop(() -> this.peers.recordChanged(address, Optional.of(MEMBER_RECORD)));
			onLoop(() -> this.peers.send(address, new PeerMessage.SyncRequest()));
			assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("connected " + address);
			onLoop(this.peers::checkLiveness);
			assertThat(onLoop(this.peers::connectedCount)).isOne();
			onLoop(() -> this.timers.schedule(Duration.ofMillis(2001), () -> {
			}));
			onLoop(this.peers::checkLiveness);
			assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("disconnected " + address);
		}
	}

	@Test
	void membershipContainsTheDecodedRecords() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(LOCAL_ADDRESS));
		Member other = new Member("10.0.0.2:1", "zone-b", 27);
		onLoop(() -> this.peers
			.snapshotRead(Map.of(LOCAL_ADDRESS, MEMBER_RECORD, other.address(), RelayCodec.encode(other))));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(LOCAL_ADDRESS), other);
		onLoop(() -> this.peers.recordChanged(other.address(), Optional.empty()));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(LOCAL_ADDRESS));
	}

	// A record of another writer may have a key that is not an address. It must not stop
	// the consumer.
	@Test
	void recordWithAnInvalidAddressIsIgnored() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(LOCAL_ADDRESS));
		onLoop(() -> this.peers.snapshotRead(Map.of(LOCAL_ADDRESS, MEMBER_RECORD, "nowhere", MEMBER_RECORD, "10.0.0.1:",
				MEMBER_RECORD, ":70000", MEMBER_RECORD)));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(LOCAL_ADDRESS));
		assertThat(onLoop(this.peers::knownCount)).isZero();
	}

	// Guards against an event loop that is blocked while a name is resolved.
	@Test
	void recordWithoutTheAddressOfAHostIsIgnored() throws Exception {
		onLoop(() -> this.peers.setLocalAddress(LOCAL_ADDRESS));
		onLoop(() -> this.peers.snapshotRead(Map.of(LOCAL_ADDRESS, MEMBER_RECORD, "localhost:1", MEMBER_RECORD, ":1",
				MEMBER_RECORD, "10.0.0.1:0", MEMBER_RECORD)));
		assertThat(onLoop(() -> this.members)).containsExactly(Member.of(LOCAL_ADDRESS));
	}

	@Test
	void trafficOfALinkIsCounted() throws Exception {
		bind();
		sendUsage();
		List<Measurement> counted = new ArrayList<>();
		onLoop(() -> this.traffic.publish(counted::add));
		assertThat(counted).map(RelayTraffic.class::cast)
			.filteredOn((traffic) -> traffic.messages() > 0 && traffic.bytes() > 0)
			.extracting(RelayTraffic::kind)
			.containsExactly(RelayTraffic.Kind.LINKS_OUT, RelayTraffic.Kind.LINKS_IN);
	}

	private static LedgerEntry reserved(String request) {
		return new LedgerEntry.Reserved(RunId.unnumbered(request), "p", 1, "", List.of(), false);
	}

	private void sendUsage() throws Exception {
		connectPeer();
		while (onLoop(this.others.getFirst()::connectedCount) == 0) {
			Thread.onSpinWait();
		}
		onLoop(() -> this.others.getFirst()
			.send(this.localAddress,
					new PeerMessage.Usage(RunId.unnumbered("t"), 7, 0, true, List.of(new UpstreamLoad(1, 2, 3)))));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("usage t 7");
	}

	private String connectPeer() throws Exception {
		String address = addPeer();
		onLoop(() -> this.peers.send(address, new PeerMessage.Heartbeat()));
		assertThat(this.received.poll(20, TimeUnit.SECONDS)).isEqualTo("connected " + address);
		return address;
	}

	private String addPeer() throws Exception {
		Peers other = new Peers(this.loop, new RecordingListener(), new ImmediateTimers(), new TrafficCounter());
		this.others.add(other);
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) other.bind(this.group, any).sync().channel().localAddress();
		String address = "127.0.0.1:" + bound.getPort();
		other.setLocalAddress(address);
		onLoop(() -> this.peers.recordChanged(address, Optional.of(MEMBER_RECORD)));
		this.peerAddress = address;
		return address;
	}

	private void bind() throws Exception {
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
		InetSocketAddress bound = (InetSocketAddress) this.peers.bind(this.group, any).sync().channel().localAddress();
		this.localAddress = "127.0.0.1:" + bound.getPort();
		onLoop(() -> this.peers.setLocalAddress(this.localAddress));
	}

	private void onLoop(Runnable task) throws Exception {
		this.loop.submit(task).get();
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		return this.loop.submit(task).get();
	}

	/**
	 * Runs scheduled tasks at once and advances the clock by their delay. Used by the
	 * event loop's thread.
	 */
	private final class ImmediateTimers implements Timers {

		private long now;

		@Override
		public void schedule(Duration delay, Runnable task) {
			this.now += delay.toMillis();
			PeersTests.this.loop.execute(task);
		}

		@Override
		public long now() {
			return this.now;
		}

	}

	/**
	 * Records what the listener receives. Used by the event loop's thread.
	 */
	private final class RecordingListener implements PeerListener {

		@Override
		public void permitsRequested(String peer, PermitRequest request) {
			PeersTests.this.received.add("permits requested by " + peer);
		}

		@Override
		public void permitsGranted(String peer, PermitReply reply) {
			PeersTests.this.received.add("permits granted by " + peer);
		}

		@Override
		public void entriesReceived(String peer, List<LedgerEntry> entries) {
			entries.forEach((entry) -> PeersTests.this.received.add(entry.request()));
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
		public void streamVersionRequested(String peer, String request) {
			PeersTests.this.received.add("version of " + request);
		}

		@Override
		public void streamVersionReceived(PeerMessage.StreamVersion version) {
			PeersTests.this.received.add("version of " + version.run().request() + " received");
		}

		@Override
		public void textsRequested(String peer, Set<String> requests) {
			PeersTests.this.received.add("texts of " + requests);
		}

		@Override
		public void textsReceived(List<TurnText> texts) {
			texts.forEach((turn) -> PeersTests.this.received.add("text of " + turn.request()));
		}

		@Override
		public void turnWritesAcknowledged(Set<String> requests) {
		}

		@Override
		public void reservationRequested(String peer, PeerMessage.ReservationRequest request) {
			PeersTests.this.received.add("requested " + request.run().request() + " of " + request.program());
		}

		@Override
		public void usageReceived(String peer, PeerMessage.Usage usage) {
			PeersTests.this.received.add("usage " + usage.run().request() + " " + usage.tokens());
		}

		@Override
		public void usageUnavailable(String peer, RunId run) {
			PeersTests.this.received.add("usage unavailable " + run.request());
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
			PeersTests.this.received.add("decision " + decision.run().request() + " " + decision.admitted());
		}

		@Override
		public void syncCompleted(String peer) {
			PeersTests.this.received.add("sync completed");
		}

		@Override
		public void peerConnected(String peer) {
			if (!peer.equals(PeersTests.this.localAddress)) {
				PeersTests.this.received.add("connected " + peer);
			}
		}

		@Override
		public void peerDisconnected(String peer, String reason) {
			PeersTests.this.received.add("disconnected " + peer);
		}

		@Override
		public void peerUnreachable(String peer) {
			PeersTests.this.received.add("unreachable " + peer);
		}

		@Override
		public void addressRemoved() {
			PeersTests.this.received.add("address removed");
		}

	}

}
