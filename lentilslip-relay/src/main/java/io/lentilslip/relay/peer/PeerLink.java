package io.lentilslip.relay.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;

import io.lentilslip.core.retry.Backoff;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * The link to one other relay: one connection, whichever of the two made it. It is made
 * when something is to be sent and closed when nothing has been for a while, so that a
 * relay has links to those that it works with. What was sent on a lost link comes to the
 * other relay by the log, or is asked for again. Used by the event loop's thread.
 */
final class PeerLink {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The pauses between tries: the first ones short, since a relay that restarts is back
	 * in half a second, later ones long, since it may be gone.
	 */
	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(100), Duration.ofMillis(2000));

	/**
	 * Takes no random part off a pause: a relay that is back needs all its links at once.
	 */
	private static final long NO_JITTER = 0;

	/**
	 * How long a relay may be out of reach before its address is dropped from the store:
	 * twice what a restart takes. Addresses of VMs that were replaced would add up
	 * otherwise, and be tried for ever. One that lives writes its address again.
	 */
	private static final Duration UNREACHABLE_TIMEOUT = Duration.ofSeconds(8);

	/**
	 * For how long a link that is down is tried for after it was last needed.
	 */
	private static final Duration RECONNECT_WINDOW = Duration.ofSeconds(10);

	/**
	 * How long nothing may come back after something was sent before a sign of life is
	 * asked for. Questions are answered at once, so most links are never asked.
	 */
	private static final Duration HEARTBEAT_DELAY = Duration.ofMillis(1200);

	/**
	 * How long nothing may come back before the link counts as lost. A connection may go
	 * silent for good without a reset, and a new one works.
	 */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(2000);

	/**
	 * How recently something must have gone out for it to count as a sign of life itself.
	 */
	private static final Duration RECENT_SEND = Duration.ofMillis(200);

	/**
	 * The most bytes that wait for a relay that reads too slowly before its link ends.
	 */
	private static final int MAX_PENDING_BYTES = 8 * 1024 * 1024;

	/**
	 * The most messages that wait for a connection that is being made: some more than are
	 * sent to one relay in that time. Older ones are of no use to it any more.
	 */
	private static final int MAX_QUEUED_MESSAGES = 64;

	private static final byte[] HEARTBEAT = RelayCodec.encode(new PeerMessage.Heartbeat());

	private static final long UNSET = -1;

	private final EventLoop loop;

	private final String address;

	private final InetSocketAddress target;

	private final PeerListener listener;

	private final Timers timers;

	private final TrafficCounter traffic;

	private final Supplier<PeerChannel> channelFactory;

	private final Deque<byte[]> queue = new ArrayDeque<>();

	private Optional<Channel> channel = Optional.empty();

	private boolean connecting;

	private boolean mayReconnect = true;

	private int failures;

	private long unreachableSince = UNSET;

	private long lastUsedAt;

	private long lastSentAt;

	private long awaitingResponseSince = UNSET;

	PeerLink(EventLoop loop, String address, InetSocketAddress target, PeerListener listener, Timers timers,
			TrafficCounter traffic, Supplier<PeerChannel> channelFactory) {
		this.loop = loop;
		this.address = address;
		this.target = target;
		this.listener = listener;
		this.timers = timers;
		this.traffic = traffic;
		this.channelFactory = channelFactory;
		this.lastUsedAt = timers.now();
	}

	boolean connected() {
		return this.channel.isPresent() && this.channel.get().isActive();
	}

	/**
	 * Returns whether the other relay was needed and could not be reached.
	 * @return whether it was
	 */
	boolean unreachable() {
		return !connected() && this.unreachableSince != UNSET;
	}

	/**
	 * Sends a message that is encoded already, once for all links that it goes out on.
	 * @param encoded the bytes of the message; shared, never written to
	 * @param expectsResponse whether something should come back
	 */
	void send(byte[] encoded, boolean expectsResponse) {
		this.lastUsedAt = this.timers.now();
		if (connected()) {
			write(encoded, expectsResponse);
			return;
		}
		if (this.queue.size() == MAX_QUEUED_MESSAGES) {
			this.queue.removeFirst();
		}
		this.queue.add(encoded);
		if (!this.connecting) {
			connect();
		}
	}

	private void write(byte[] encoded, boolean expectsResponse) {
		if (pendingBytes() > MAX_PENDING_BYTES) {
			this.channel.get().close();
			return;
		}
		this.lastSentAt = this.timers.now();
		if (expectsResponse && this.awaitingResponseSince == UNSET) {
			this.awaitingResponseSince = this.lastSentAt;
		}
		PeerChannel.send(this.channel.get(), encoded);
	}

	/**
	 * Returns whether less than half of what may wait does.
	 * @return whether it does
	 */
	boolean hasSendCapacity() {
		return !connected() || 2 * pendingBytes() < MAX_PENDING_BYTES;
	}

	private long pendingBytes() {
		return this.channel.orElseThrow().unsafe().outboundBuffer().totalPendingWriteBytes();
	}

	/**
	 * Notes that the other relay has said something.
	 */
	void messageReceived() {
		this.awaitingResponseSince = UNSET;
	}

	/**
	 * Answers a sign of life, unless what was just sent is one.
	 */
	void heartbeatReceived() {
		if (connected() && this.timers.now() - this.lastSentAt > RECENT_SEND.toMillis()) {
			write(HEARTBEAT, false);
		}
	}

	/**
	 * Looks whether the other relay is silent.
	 */
	void checkLiveness() {
		if (!connected() || this.awaitingResponseSince == UNSET) {
			return;
		}
		long silent = this.timers.now() - this.awaitingResponseSince;
		if (silent > RESPONSE_TIMEOUT.toMillis()) {
			this.channel.get().close();
			return;
		}
		if (silent > HEARTBEAT_DELAY.toMillis()) {
			write(HEARTBEAT, true);
		}
	}

	/**
	 * Makes the link no more after its connection is over.
	 */
	void retire() {
		this.mayReconnect = false;
	}

	private void connect() {
		this.connecting = true;
		PeerChannel conversation = this.channelFactory.get();
		ChannelFuture opening = Sockets.connect(this.loop, this.target, CONNECT_TIMEOUT,
				(opened) -> conversation.initialize(opened, this.traffic));
		opening.addListener((done) -> {
			if (!done.isSuccess()) {
				connectionFailed();
			}
		});
	}

	/**
	 * Takes a connection over which the other relay can be spoken to. Where both made one
	 * at the same time, the first stays in use, and what comes on the other is heard.
	 * @param connectionOpened the connection
	 * @param own whether this relay made it
	 */
	void connectionOpened(Channel opened, boolean own) {
		this.connecting = this.connecting && !own;
		if (connected()) {
			return;
		}
		this.channel = Optional.of(opened);
		this.failures = 0;
		this.unreachableSince = UNSET;
		this.awaitingResponseSince = UNSET;
		this.listener.peerConnected(this.address);
		while (!this.queue.isEmpty() && connected()) {
			write(this.queue.removeFirst(), true);
		}
	}

	/**
	 * Takes that a connection is over.
	 * @param connectionClosed the connection
	 * @param reason why
	 */
	void connectionClosed(Channel closed, String reason) {
		if (this.channel.isEmpty() || this.channel.get() != closed) {
			return;
		}
		this.channel = Optional.empty();
		this.listener.peerDisconnected(this.address, reason);
		if (!this.connecting && shouldReconnect() && !reason.equals(PeerChannel.IDLE)) {
			this.connecting = true;
			connectionFailed();
		}
	}

	private boolean shouldReconnect() {
		return this.mayReconnect && this.timers.now() - this.lastUsedAt < RECONNECT_WINDOW.toMillis();
	}

	private void connectionFailed() {
		long now = this.timers.now();
		if (this.unreachableSince == UNSET) {
			this.unreachableSince = now;
		}
		if (this.mayReconnect && now - this.unreachableSince > UNREACHABLE_TIMEOUT.toMillis()) {
			this.unreachableSince = now;
			this.listener.peerUnreachable(this.address);
		}
		this.queue.clear();
		this.failures++;
		this.timers.schedule(BACKOFF.after(this.failures, NO_JITTER), this::reconnect);
	}

	private void reconnect() {
		if (shouldReconnect() && !connected()) {
			connect();
			return;
		}
		this.connecting = false;
		this.unreachableSince = UNSET;
	}

}
