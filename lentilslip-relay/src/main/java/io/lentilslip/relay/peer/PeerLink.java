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
 * Link to one other relay over a single connection, which either side may have opened. It
 * connects on demand and closes when idle, so a relay has links only to relays that it
 * exchanges messages with. Messages lost with a connection are not resent: entries arrive
 * through the log, and requests are retried. Used by the event loop's thread.
 */
final class PeerLink {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The reconnect delays, short at first for a relay that restarts, which takes half a
	 * second, and longer for one that may not return.
	 */
	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(100), Duration.ofMillis(2000));

	/**
	 * No jitter: a relay that restarted needs all its links at once.
	 */
	private static final long NO_JITTER = 0;

	/**
	 * How long a relay may be unreachable before its address is removed from the store,
	 * longer than a restart takes. Otherwise addresses of replaced VMs would accumulate.
	 * A relay that is alive registers again.
	 */
	private static final Duration UNREACHABLE_TIMEOUT = Duration.ofSeconds(8);

	/**
	 * How long a lost link is reconnected after its last use.
	 */
	private static final Duration RECONNECT_WINDOW = Duration.ofSeconds(10);

	/**
	 * How long a response may be outstanding before a heartbeat is sent. Requests are
	 * normally answered at once, so most links need none.
	 */
	private static final Duration HEARTBEAT_DELAY = Duration.ofMillis(1200);

	/**
	 * How long a response may be outstanding before the connection is closed. A
	 * connection may stop delivering data without a reset; reconnecting restores the
	 * link.
	 */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(2000);

	/**
	 * How recent a message to the other relay must be to replace a heartbeat.
	 */
	private static final Duration RECENT_SEND = Duration.ofMillis(200);

	/**
	 * The maximum number of bytes pending for a slow reader before its connection is
	 * closed.
	 */
	private static final int MAX_PENDING_BYTES = 8 * 1024 * 1024;

	/**
	 * The maximum number of messages queued while connecting, more than are sent to one
	 * relay in that time. The oldest are dropped; they are of no use to the other relay
	 * by then.
	 */
	private static final int MAX_QUEUED_MESSAGES = 64;

	private static final byte[] HEARTBEAT = RelayCodec.encode(new PeerMessage.Heartbeat());

	private static final long UNSET = -1;

	private static final String REPLACED = "replaced";

	private final EventLoop loop;

	private final String address;

	private final InetSocketAddress socketAddress;

	private final PeerListener listener;

	private final Timers timers;

	private final TrafficCounter traffic;

	private final Supplier<PeerChannel> channelFactory;

	private final Deque<byte[]> queue = new ArrayDeque<>();

	private Optional<Channel> channel = Optional.empty();

	private boolean initiatedLocally;

	private boolean connecting;

	private boolean mayReconnect = true;

	private int failures;

	private long unreachableSince = UNSET;

	private long lastUsedAt;

	private long lastSentAt;

	private long awaitingResponseSince = UNSET;

	PeerLink(EventLoop loop, String address, InetSocketAddress socketAddress, PeerListener listener, Timers timers,
			TrafficCounter traffic, Supplier<PeerChannel> channelFactory) {
		this.loop = loop;
		this.address = address;
		this.socketAddress = socketAddress;
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
	 * @return whether it could not
	 */
	boolean unreachable() {
		return !connected() && this.unreachableSince != UNSET;
	}

	/**
	 * Sends an encoded message, which may be shared by several links.
	 * @param encoded the bytes of the message; must not be modified
	 * @param expectsResponse whether to expect a response or a heartbeat
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
	 * Returns whether less than half of the maximum number of bytes is pending.
	 * @return whether the link has capacity
	 */
	boolean hasSendCapacity() {
		return !connected() || 2 * pendingBytes() < MAX_PENDING_BYTES;
	}

	private long pendingBytes() {
		return this.channel.orElseThrow().unsafe().outboundBuffer().totalPendingWriteBytes();
	}

	/**
	 * Records that the other relay has sent a message.
	 */
	void messageReceived() {
		this.awaitingResponseSince = UNSET;
	}

	/**
	 * Responds to a heartbeat unless another message was sent recently.
	 */
	void heartbeatReceived() {
		if (connected() && this.timers.now() - this.lastSentAt > RECENT_SEND.toMillis()) {
			write(HEARTBEAT, false);
		}
	}

	/**
	 * Sends a heartbeat or closes the connection if a response is overdue.
	 */
	void checkLiveness() {
		if (!connected() || this.awaitingResponseSince == UNSET) {
			return;
		}
		long waitMillis = this.timers.now() - this.awaitingResponseSince;
		if (waitMillis > RESPONSE_TIMEOUT.toMillis()) {
			this.channel.get().close();
			return;
		}
		if (waitMillis > HEARTBEAT_DELAY.toMillis()) {
			write(HEARTBEAT, true);
		}
	}

	/**
	 * Prevents reconnecting after the current connection closes.
	 */
	void retire() {
		this.mayReconnect = false;
	}

	private void connect() {
		this.connecting = true;
		PeerChannel handler = this.channelFactory.get();
		ChannelFuture future = Sockets.connect(this.loop, this.socketAddress, CONNECT_TIMEOUT,
				(channel) -> handler.initialize(channel, this.traffic));
		future.addListener((result) -> {
			if (!result.isSuccess()) {
				connectionFailed();
			}
		});
	}

	/**
	 * Uses a new connection. If both relays connected at the same time, the first
	 * connection stays in use for sending, and messages received on the other one are
	 * still handled. A second connection that the other relay opened replaces the first:
	 * it opens one only after it has lost the other.
	 * @param channel the connection
	 * @param initiatedLocally whether this relay opened it
	 */
	void connectionOpened(Channel channel, boolean initiatedLocally) {
		this.connecting = this.connecting && !initiatedLocally;
		if (connected() && (initiatedLocally || this.initiatedLocally)) {
			return;
		}
		Optional<Channel> replaced = this.channel.filter((ignored) -> connected());
		this.channel = Optional.of(channel);
		this.initiatedLocally = initiatedLocally;
		if (replaced.isPresent()) {
			this.listener.peerDisconnected(this.address, REPLACED);
			replaced.get().close();
		}
		this.failures = 0;
		this.unreachableSince = UNSET;
		this.awaitingResponseSince = UNSET;
		this.listener.peerConnected(this.address);
		while (!this.queue.isEmpty() && connected()) {
			write(this.queue.removeFirst(), true);
		}
	}

	/**
	 * Handles the end of a connection.
	 * @param channel the connection
	 * @param reason why it was closed
	 */
	void connectionClosed(Channel channel, String reason) {
		if (this.channel.isEmpty() || this.channel.get() != channel) {
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
		this.timers.schedule(BACKOFF.delayAfter(this.failures, NO_JITTER), this::reconnect);
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
