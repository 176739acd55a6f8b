package io.lentilslip.relay.peer;

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
import io.vavr.control.Try;

/**
 * The other relays, as far as they have written their addresses to the store, with a link
 * to each that this one has something to say to. What is asked may stay unanswered. Used
 * by the event loop's thread.
 */
public final class Peers implements CompactedTopicConsumer.Listener {

	/**
	 * How many others are asked for help at once: the store may turn one of them away
	 * too.
	 */
	private static final int TURN_WRITE_PEERS = 2;

	/**
	 * The most entries of one message that repeats them: with the longest texts some
	 * megabytes, below the bound of a message.
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
	 * Creates a relay's view of the others.
	 * @param loop the event loop
	 * @param listener takes what the others say
	 * @param timers runs steps later
	 * @param traffic adds up what goes over links
	 */
	public Peers(EventLoop loop, PeerListener listener, Timers timers, TrafficCounter traffic) {
		this.loop = loop;
		this.listener = listener;
		this.timers = timers;
		this.traffic = traffic;
	}

	/**
	 * Opens the port for the links of others.
	 * @param group the event loop
	 * @param address the address
	 * @return the opening
	 */
	public ChannelFuture open(EventLoopGroup group, InetSocketAddress address) {
		return Sockets.bind(group, address,
				(channel) -> new PeerConnection(Optional.empty()).initialize(channel, this.traffic));
	}

	/**
	 * Sets the name of this relay, before it follows the others.
	 * @param setLocalAddress the address and port at which it takes links
	 */
	public void setLocalAddress(String name) {
		this.localAddress = name;
	}

	/**
	 * Tells some of the others of an entry.
	 * @param peers their addresses
	 * @param entry the entry
	 */
	public void replicate(List<String> peers, LedgerEntry entry) {
		if (!peers.isEmpty()) {
			sendAll(peers, new PeerMessage.Batch(List.of(entry)));
		}
	}

	/**
	 * Tells one other relay of entries, where its link has room: a link that was just
	 * made anew must not end again over what it is told first.
	 * @param peer its address
	 * @param entries the entries
	 */
	public void replicate(String peer, List<LedgerEntry> entries) {
		PeerLink link = this.links.get(peer);
		for (int from = 0; link != null && from < entries.size()
				&& link.hasSendCapacity(); from += ENTRIES_PER_MESSAGE) {
			List<LedgerEntry> part = entries.subList(from, Math.min(entries.size(), from + ENTRIES_PER_MESSAGE));
			send(link, new PeerMessage.Batch(part));
		}
	}

	/**
	 * Asks two other relays to write a turn to the log, each time the next two, and those
	 * that are linked first.
	 * @param help the turn
	 */
	public void requestTurnWrite(PeerMessage.TurnWriteRequest help) {
		List<PeerLink> able = this.links.values().stream().filter(PeerLink::connected).toList();
		if (able.size() < TURN_WRITE_PEERS) {
			able = List.copyOf(this.links.values());
		}
		for (int i = 0; i < Math.min(TURN_WRITE_PEERS, able.size()); i++) {
			this.nextTurnWritePeer = (this.nextTurnWritePeer + 1) % able.size();
			send(able.get(this.nextTurnWritePeer), help);
		}
	}

	/**
	 * Asks other relays something.
	 * @param peers their addresses; empty for all
	 * @param question the question
	 */
	public void sendRequest(List<String> peers, PeerMessage question) {
		sendAll(peers.isEmpty() ? List.copyOf(this.links.keySet()) : peers, question);
	}

	/**
	 * Sends another relay a message, if it is known.
	 * @param peer its address
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

	// Whoever is answered looks after the link itself.
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
	 * Looks for links that have gone silent.
	 */
	public void checkLiveness() {
		this.links.values().forEach(PeerLink::checkLiveness);
	}

	/**
	 * Returns how many links are up.
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

	private int count(boolean up) {
		int count = 0;
		for (PeerLink link : this.links.values()) {
			count += (up ? link.connected() : link.unreachable()) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns how many other relays are known.
	 * @return the number
	 */
	public int knownCount() {
		return this.members.size() - (this.members.containsKey(this.localAddress) ? 1 : 0);
	}

	@Override
	public void snapshotRead(Map<String, byte[]> values) {
		for (String gone : List.copyOf(this.members.keySet())) {
			if (!values.containsKey(gone)) {
				remove(gone);
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

	// A relay may speak before its address is read from the store.
	private Optional<PeerLink> link(String address) {
		PeerLink known = this.links.get(address);
		if (known != null || address.equals(this.localAddress)) {
			return Optional.ofNullable(known);
		}
		Optional<PeerLink> added = parseAddress(address).map((target) -> new PeerLink(this.loop, address, target,
				this.listener, this.timers, this.traffic, () -> new PeerConnection(Optional.of(address))));
		added.ifPresent((link) -> this.links.put(address, link));
		return added;
	}

	private static Optional<InetSocketAddress> parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		return Try
			.of(() -> new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))))
			.toJavaOptional();
	}

	// A relay that drains leaves the list and goes on asking for the turns that it took.
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
	 * One connection to another relay, whichever of the two made it. Used by the event
	 * loop's thread.
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
				case PeerMessage.TurnWriteRequest help -> Peers.this.listener.turnWriteRequested(this.peer, help);
				case PeerMessage.TextLocationsRequest wanted ->
					Peers.this.listener.textLocationsRequested(this.peer, wanted.request());
				case PeerMessage.TextLocations places ->
					Peers.this.listener.textLocationsReceived(this.peer, places.turns());
				case PeerMessage.TextsRequest wanted ->
					Peers.this.listener.textsRequested(this.peer, wanted.requests());
				case PeerMessage.Texts texts -> Peers.this.listener.textsReceived(texts.turns());
				case PeerMessage.TurnWriteAck stored -> Peers.this.listener.turnWritesAcknowledged(stored.requests());
				case PeerMessage.ReservationRequest question ->
					Peers.this.listener.reservationRequested(this.peer, question);
				case PeerMessage.Usage taken -> Peers.this.listener.usageReceived(this.peer, taken);
				case PeerMessage.UsageUnavailable unsure ->
					Peers.this.listener.usageUnavailable(this.peer, unsure.request());
				case PeerMessage.LogDecision place -> Peers.this.listener.logDecisionReceived(place);
				case PeerMessage.PermitsRequest ask -> Peers.this.listener.permitsRequested(this.peer, ask.request());
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
