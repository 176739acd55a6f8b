package io.lentilslip.relay.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.net.Traffic;
import io.lentilslip.relay.store.KeyFollower;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;

/**
 * The other relays, as far as they have written their addresses to the store, with a link
 * to each. What this relay writes goes out on all of them; nothing waits for them. Used
 * by the event loop's thread.
 */
public final class Peers implements KeyFollower.Listener {

	/**
	 * How many others are asked at once: the store may turn one of them away too.
	 */
	private static final int HELPERS = 2;

	/**
	 * The most entries of one message that repeats them: with the longest texts some
	 * megabytes, below the bound of a message.
	 */
	private static final int BATCH = 20;

	private final EventLoop loop;

	private final PeerListener listener;

	private final Timers timers;

	private final Traffic traffic;

	private final Map<String, PeerLink> links = new HashMap<>();

	private final List<LedgerEntry> untold = new ArrayList<>();

	private int nextHelper;

	private String own = "";

	/**
	 * Creates a relay's view of the others.
	 * @param loop the event loop
	 * @param listener takes what the others say
	 * @param timers runs steps later
	 * @param traffic adds up what goes over links
	 */
	public Peers(EventLoop loop, PeerListener listener, Timers timers, Traffic traffic) {
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
		return Sockets.open(group, address, (channel) -> new Batches().setUp(channel, this.traffic));
	}

	/**
	 * Sets the name of this relay, before it follows the others.
	 * @param name the address and port at which it takes links
	 */
	public void name(String name) {
		this.own = name;
	}

	/**
	 * Tells the others of an entry, together with others of the same moment. A turn that
	 * contends is not told: it counts from its place in the log on, and at 31 relays each
	 * message wakes 30 others.
	 * @param entry the entry
	 */
	public void tell(LedgerEntry entry) {
		if (entry instanceof LedgerEntry.Reserved reserved && reserved.contending()) {
			return;
		}
		if (this.untold.isEmpty()) {
			this.loop.execute(this::tellAll);
		}
		this.untold.add(entry);
	}

	/**
	 * Tells one other relay of entries, where its link has room: a link that was just
	 * made anew must not end again over what it is told first.
	 * @param peer its address
	 * @param entries the entries
	 */
	public void tell(String peer, List<LedgerEntry> entries) {
		PeerLink link = this.links.get(peer);
		for (int from = 0; link != null && from < entries.size() && link.hasRoom(); from += BATCH) {
			List<LedgerEntry> part = entries.subList(from, Math.min(entries.size(), from + BATCH));
			link.send(new PeerMessage.Batch(part));
		}
	}

	/**
	 * Asks two other relays to write a turn to the log, each time the next two.
	 * @param help the turn
	 */
	public void askForHelp(PeerMessage.Help help) {
		List<PeerLink> up = this.links.values().stream().filter(PeerLink::up).toList();
		for (int i = 0; i < Math.min(HELPERS, up.size()); i++) {
			this.nextHelper = (this.nextHelper + 1) % up.size();
			up.get(this.nextHelper).send(help);
		}
	}

	/**
	 * Asks the other relays what is taken of a program's budget, after all that they are
	 * to be told so far.
	 * @param question the question
	 */
	public void ask(PeerMessage.Question question) {
		tellAll();
		sendAll(question);
	}

	/**
	 * Answers another relay's question, after all that it is to be told so far.
	 * @param peer its address
	 * @param entries entries that it may not have heard of
	 * @param taken the answer
	 */
	public void answer(String peer, List<LedgerEntry> entries, PeerMessage.Taken taken) {
		tellAll();
		tell(peer, entries);
		send(peer, taken);
	}

	/**
	 * Sends another relay a message, if it is linked.
	 * @param peer its address
	 * @param message the message
	 */
	public void send(String peer, PeerMessage message) {
		PeerLink link = this.links.get(peer);
		if (link != null) {
			link.send(message);
		}
	}

	/**
	 * Tells another relay that the log has a turn that it asked for help with.
	 * @param peer its address
	 * @param request the turn
	 */
	public void tellStored(String peer, String request) {
		send(peer, new PeerMessage.Stored(Set.of(request)));
	}

	/**
	 * Returns how many links are up.
	 * @return the number
	 */
	public int up() {
		int up = 0;
		for (PeerLink link : this.links.values()) {
			up += link.up() ? 1 : 0;
		}
		return up;
	}

	/**
	 * Returns how many other relays are known.
	 * @return the number
	 */
	public int known() {
		return this.links.size();
	}

	@Override
	public void all(Map<String, byte[]> values) {
		for (String gone : Set.copyOf(this.links.keySet())) {
			if (!values.containsKey(gone)) {
				remove(gone);
			}
		}
		values.keySet().forEach(this::add);
		if (!values.containsKey(this.own)) {
			this.listener.forgotten();
		}
	}

	@Override
	public void changed(String key, Optional<byte[]> value) {
		if (value.isPresent()) {
			add(key);
			return;
		}
		if (key.equals(this.own)) {
			this.listener.forgotten();
			return;
		}
		remove(key);
	}

	private void tellAll() {
		if (this.untold.isEmpty()) {
			return;
		}
		List<LedgerEntry> batch = List.copyOf(this.untold);
		this.untold.clear();
		sendAll(new PeerMessage.Batch(batch));
	}

	private void sendAll(PeerMessage message) {
		byte[] encoded = RelayCodec.encode(message);
		this.links.values().forEach((link) -> link.send(encoded));
	}

	private void add(String address) {
		if (address.equals(this.own) || this.links.containsKey(address)) {
			return;
		}
		PeerLink link = new PeerLink(this.loop, this.own, address, this.listener, this.timers, this.traffic);
		this.links.put(address, link);
		link.connect();
	}

	private void remove(String address) {
		PeerLink link = this.links.remove(address);
		if (link != null) {
			link.close();
		}
	}

	/**
	 * Takes what another relay tells on its link. Used by the event loop's thread.
	 */
	private final class Batches extends PeerChannel {

		private String peer = "";

		@Override
		void take(ChannelHandlerContext context, PeerMessage message) {
			switch (message) {
				case PeerMessage.Greeting greeting -> {
					send(context.channel(), new PeerMessage.Greeting(Peers.this.own));
					this.peer = greeting.address();
					add(this.peer);
				}
				case PeerMessage.Batch batch -> Peers.this.listener.entries(this.peer, batch.entries());
				case PeerMessage.Help help -> Peers.this.listener.helpAsked(this.peer, help);
				case PeerMessage.TextsWanted wanted -> Peers.this.listener.textsAsked(this.peer, wanted.requests());
				case PeerMessage.Texts texts -> Peers.this.listener.textsTold(texts.turns());
				case PeerMessage.Stored stored -> Peers.this.listener.stored(stored.requests());
				case PeerMessage.Question question -> Peers.this.listener.takenAsked(this.peer, question);
				case PeerMessage.Taken taken -> Peers.this.listener.takenTold(this.peer, taken);
				case PeerMessage.Place place -> Peers.this.listener.placeTold(place);
				case PeerMessage.Told ignored -> Peers.this.listener.allTold(this.peer);
				case PeerMessage.Pulse ignored -> {
				}
				case PeerMessage.Unknown ignored -> {
				}
			}
		}

	}

}
