package io.lentilslip.relay.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.relay.store.CompactedTopicConsumer;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.NetUtil;
import io.vavr.control.Try;

/**
 * The other relays that are registered in the store, with a link to each of them that
 * this relay sends messages to. Responses are not guaranteed. Used by the event loop's
 * thread.
 */
public final class Peers implements CompactedTopicConsumer.Listener {

	private static final int MAX_PORT = 65_535;

	/**
	 * The number of relays that are requested to write a turn, since one of them may not
	 * reach the store either.
	 */
	private static final int TURN_WRITE_PEERS = 2;

	/**
	 * The maximum number of entries in one message, which keeps it below the frame size
	 * limit.
	 */
	private static final int ENTRIES_PER_MESSAGE = 20;

	private final EventLoop loop;

	private final PeerListener listener;

	private final Timers timers;

	private final TrafficCounter traffic;

	private final Map<String, PeerLink> links = new HashMap<>();

	private final Map<String, Member> members = new TreeMap<>();

	private int nextTurnWritePeer;

	private String localAddress = "";

	/**
	 * Creates an empty set of peers.
	 * @param loop the event loop
	 * @param listener handles messages and changes of links
	 * @param timers schedules reconnects
	 * @param traffic counts frames and bytes of links
	 */
	public Peers(EventLoop loop, PeerListener listener, Timers timers, TrafficCounter traffic) {
		this.loop = loop;
		this.listener = listener;
		this.timers = timers;
		this.traffic = traffic;
	}

	/**
	 * Binds the port for the links of other relays.
	 * @param group the event loop
	 * @param address the address
	 * @return the bind operation
	 */
	public ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
		return Sockets.bind(group, address,
				(channel) -> new PeerConnection(Optional.empty()).initialize(channel, this.traffic));
	}

	/**
	 * Sets the address of this relay, before it consumes the list of relays.
	 * @param address the address and port at which it accepts links
	 */
	public void setLocalAddress(String address) {
		this.localAddress = address;
	}

	/**
	 * Replicates an entry to other relays.
	 * @param peers their addresses
	 * @param entry the entry
	 */
	public void replicate(List<String> peers, LedgerEntry entry) {
		if (!peers.isEmpty()) {
			sendAll(peers, new PeerMessage.Batch(List.of(entry)));
		}
	}

	/**
	 * Replicates entries to another relay as long as its link has capacity, so that a new
	 * connection is not closed again for too many pending bytes.
	 * @param peer the address of the other relay
	 * @param entries the entries
	 */
	public void replicate(String peer, List<LedgerEntry> entries) {
		PeerLink link = this.links.get(peer);
		for (int from = 0; link != null && from < entries.size()
				&& link.hasSendCapacity(); from += ENTRIES_PER_MESSAGE) {
			List<LedgerEntry> batch = entries.subList(from, Math.min(entries.size(), from + ENTRIES_PER_MESSAGE));
			send(link, new PeerMessage.Batch(batch));
		}
	}

	/**
	 * Requests two other relays to write a turn to the log. Relays are selected in
	 * round-robin order, connected ones first.
	 * @param request the request
	 */
	public void requestTurnWrite(PeerMessage.TurnWriteRequest request) {
		List<PeerLink> candidates = this.links.values().stream().filter(PeerLink::connected).toList();
		if (candidates.size() < TURN_WRITE_PEERS) {
			candidates = List.copyOf(this.links.values());
		}
		for (int i = 0; i < Math.min(TURN_WRITE_PEERS, candidates.size()); i++) {
			this.nextTurnWritePeer = (this.nextTurnWritePeer + 1) % candidates.size();
			send(candidates.get(this.nextTurnWritePeer), request);
		}
	}

	/**
	 * Sends a request to several other relays.
	 * @param peers their addresses; empty for all
	 * @param request the request
	 */
	public void sendRequest(List<String> peers, PeerMessage request) {
		sendAll(peers.isEmpty() ? List.copyOf(this.links.keySet()) : peers, request);
	}

	/**
	 * Sends a message to another relay if it is known.
	 * @param peer the address of the other relay
	 * @param message the message
	 */
	public void send(String peer, PeerMessage message) {
		PeerLink link = this.links.get(peer);
		if (link != null) {
			send(link, message);
		}
	}

	private void send(PeerLink link, PeerMessage message) {
		link.send(RelayCodec.encode(message), expectsResponse(message));
	}

	private void sendAll(List<String> peers, PeerMessage message) {
		byte[] encoded = RelayCodec.encode(message);
		for (String peer : peers) {
			PeerLink link = this.links.get(peer);
			if (link != null) {
				link.send(encoded, expectsResponse(message));
			}
		}
	}

	// Responses are not tracked: the relay that sent the request monitors the link.
	private static boolean expectsResponse(PeerMessage message) {
		return switch (message) {
			case PeerMessage.Batch ignored -> true;
			case PeerMessage.ReservationRequest ignored -> true;
			case PeerMessage.TextLocationsRequest ignored -> true;
			case PeerMessage.TextsRequest ignored -> true;
			case PeerMessage.TurnWriteRequest ignored -> true;
			case PeerMessage.SyncRequest ignored -> true;
			case PeerMessage.PermitsRequest ignored -> true;
			default -> false;
		};
	}

	/**
	 * Checks all links for overdue responses.
	 */
	public void checkLiveness() {
		this.links.values().forEach(PeerLink::checkLiveness);
	}

	/**
	 * Returns the number of connected links.
	 * @return the number
	 */
	public int connectedCount() {
		return count(true);
	}

	/**
	 * Returns how many other relays were needed and could not be reached.
	 * @return the number
	 */
	public int unreachableCount() {
		return count(false);
	}

	private int count(boolean connected) {
		int count = 0;
		for (PeerLink link : this.links.values()) {
			count += (connected ? link.connected() : link.unreachable()) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the number of other relays in the list.
	 * @return the number
	 */
	public int knownCount() {
		return this.members.size() - (this.members.containsKey(this.localAddress) ? 1 : 0);
	}

	@Override
	public void snapshotRead(Map<String, byte[]> values) {
		for (String address : List.copyOf(this.members.keySet())) {
			if (!values.containsKey(address)) {
				remove(address);
			}
		}
		values.forEach(this::add);
		notifyMembershipUpdated();
		if (!values.containsKey(this.localAddress)) {
			this.listener.addressRemoved();
		}
	}

	@Override
	public void recordChanged(String key, Optional<byte[]> value) {
		if (value.isPresent()) {
			add(key, value.get());
			notifyMembershipUpdated();
			return;
		}
		if (key.equals(this.localAddress)) {
			this.listener.addressRemoved();
			return;
		}
		remove(key);
		notifyMembershipUpdated();
	}

	private void notifyMembershipUpdated() {
		this.listener.membershipUpdated(List.copyOf(this.members.values()));
	}

	private void add(String address, byte[] value) {
		if (address.equals(this.localAddress) || link(address).isPresent()) {
			this.members.put(address, RelayCodec.decodeMember(address, value));
		}
	}

	// A relay may connect before its address is read from the store.
	private Optional<PeerLink> link(String address) {
		PeerLink existing = this.links.get(address);
		if (existing != null || address.equals(this.localAddress)) {
			return Optional.ofNullable(existing);
		}
		Optional<PeerLink> created = parseAddress(address)
			.map((socketAddress) -> new PeerLink(this.loop, address, socketAddress, this.listener, this.timers,
					this.traffic, () -> new PeerConnection(Optional.of(address))));
		created.ifPresent((link) -> this.links.put(address, link));
		return created;
	}

	// Host names are rejected, since resolving them would block the event loop.
	private static Optional<InetSocketAddress> parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			return Optional.empty();
		}
		Optional<InetAddress> host = Optional
			.ofNullable(NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon)));
		return Try.of(() -> Integer.parseInt(address.substring(colon + 1)))
			.filter((port) -> port > 0 && port <= MAX_PORT)
			.toJavaOptional()
			.flatMap((port) -> host.map((known) -> new InetSocketAddress(known, port)));
	}

	// A draining relay leaves the list while it still sends requests for its turns in
	// flight.
	private void remove(String address) {
		this.members.remove(address);
		PeerLink link = this.links.get(address);
		if (link != null) {
			link.retire();
			removeUnusedLink(address);
		}
	}

	private void removeUnusedLink(String address) {
		PeerLink link = this.links.get(address);
		if (link != null && !link.connected() && !this.members.containsKey(address)) {
			this.links.remove(address);
		}
	}

	/**
	 * One connection to another relay, opened by either side. Used by the event loop's
	 * thread.
	 */
	private final class PeerConnection extends PeerChannel {

		private final boolean initiatedLocally;

		private String peer;

		PeerConnection(Optional<String> peer) {
			this.initiatedLocally = peer.isPresent();
			this.peer = peer.orElse("");
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			if (this.initiatedLocally) {
				send(context.channel(), new PeerMessage.Greeting(Peers.this.localAddress));
				link(this.peer).ifPresent((link) -> link.connectionOpened(context.channel(), true));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerLink link = Peers.this.links.get(this.peer);
			if (link != null) {
				link.connectionClosed(context.channel(), closeReason());
				removeUnusedLink(this.peer);
			}
		}

		@Override
		void messageReceived(ChannelHandlerContext context, PeerMessage message) {
			PeerLink link = Peers.this.links.get(this.peer);
			if (link != null) {
				link.messageReceived();
			}
			switch (message) {
				case PeerMessage.Greeting greeting -> greetingReceived(context, greeting);
				case PeerMessage.Batch batch -> Peers.this.listener.entriesReceived(this.peer, batch.entries());
				case PeerMessage.TurnWriteRequest request -> Peers.this.listener.turnWriteRequested(this.peer, request);
				case PeerMessage.TextLocationsRequest request ->
					Peers.this.listener.textLocationsRequested(this.peer, request.request());
				case PeerMessage.TextLocations locations ->
					Peers.this.listener.textLocationsReceived(this.peer, locations.turns());
				case PeerMessage.StreamVersionRequest request ->
					Peers.this.listener.streamVersionRequested(this.peer, request.request());
				case PeerMessage.StreamVersion version -> Peers.this.listener.streamVersionReceived(version);
				case PeerMessage.TextsRequest request ->
					Peers.this.listener.textsRequested(this.peer, request.requests());
				case PeerMessage.Texts texts -> Peers.this.listener.textsReceived(texts.turns());
				case PeerMessage.TurnWriteAck acknowledged ->
					Peers.this.listener.turnWritesAcknowledged(acknowledged.requests());
				case PeerMessage.ReservationRequest request ->
					Peers.this.listener.reservationRequested(this.peer, request);
				case PeerMessage.Usage usage -> Peers.this.listener.usageReceived(this.peer, usage);
				case PeerMessage.UsageUnavailable unavailable ->
					Peers.this.listener.usageUnavailable(this.peer, unavailable.run());
				case PeerMessage.LogDecision decision -> Peers.this.listener.logDecisionReceived(decision);
				case PeerMessage.PermitsRequest request ->
					Peers.this.listener.permitsRequested(this.peer, request.request());
				case PeerMessage.PermitsGranted reply -> Peers.this.listener.permitsGranted(this.peer, reply.reply());
				case PeerMessage.SyncRequest ignored -> Peers.this.listener.syncRequested(this.peer);
				case PeerMessage.SyncComplete ignored -> Peers.this.listener.syncCompleted(this.peer);
				case PeerMessage.Heartbeat ignored -> {
					if (link != null) {
						link.heartbeatReceived();
					}
				}
				case PeerMessage.Unknown ignored -> {
				}
			}
		}

		private void greetingReceived(ChannelHandlerContext context, PeerMessage.Greeting greeting) {
			if (this.initiatedLocally) {
				return;
			}
			this.peer = greeting.address();
			send(context.channel(), new PeerMessage.Greeting(Peers.this.localAddress));
			link(this.peer).ifPresent((link) -> link.connectionOpened(context.channel(), false));
		}

	}

}
