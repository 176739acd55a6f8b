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
	private static final long WHOLE_PAUSE = 0;

	/**
	 * How long a relay may be out of reach before its address is dropped from the store:
	 * twice what a restart takes. Addresses of VMs that were replaced would add up
	 * otherwise, and be tried for ever. One that lives writes its address again.
	 */
	private static final Duration FORGOTTEN = Duration.ofSeconds(8);

	/**
	 * For how long a link that is down is tried for after it was last needed.
	 */
	private static final Duration NEEDED = Duration.ofSeconds(10);

	/**
	 * How long nothing may come back after something was sent before a sign of life is
	 * asked for. Questions are answered at once, so most links are never asked.
	 */
	private static final Duration UNANSWERED = Duration.ofMillis(1200);

	/**
	 * How long nothing may come back before the link counts as lost. A connection may go
	 * silent for good without a reset, and a new one works.
	 */
	private static final Duration SILENCE = Duration.ofMillis(2000);

	/**
	 * How recently something must have gone out for it to count as a sign of life itself.
	 */
	private static final Duration JUST_SENT = Duration.ofMillis(200);

	/**
	 * The most bytes that wait for a relay that reads too slowly before its link ends.
	 */
	private static final int WAITING_BYTES = 8 * 1024 * 1024;

	/**
	 * The most messages that wait for a connection that is being made: some more than are
	 * sent to one relay in that time. Older ones are of no use to it any more.
	 */
	private static final int WAITING_MESSAGES = 64;

	private static final byte[] PULSE = RelayCodec.encode(new PeerMessage.Heartbeat());

	private static final long NOTHING = -1;

	private final EventLoop loop;

	private final String address;

	private final InetSocketAddress target;

	private final PeerListener listener;

	private final Timers timers;

	private final TrafficCounter traffic;

	private final Supplier<PeerChannel> conversations;

	private final Deque<byte[]> waiting = new ArrayDeque<>();

	private Optional<Channel> channel = Optional.empty();

	private boolean connecting;

	private boolean wanted = true;

	private int failures;

	private long downSince = NOTHING;

	private long usedAt;

	private long sentAt;

	private long unansweredSince = NOTHING;

	PeerLink(EventLoop loop, String address, InetSocketAddress target, PeerListener listener, Timers timers,
			TrafficCounter traffic, Supplier<PeerChannel> conversations) {
		this.loop = loop;
		this.address = address;
		this.target = target;
		this.listener = listener;
		this.timers = timers;
		this.traffic = traffic;
		this.conversations = conversations;
		this.usedAt = timers.now();
	}

	boolean up() {
		return this.channel.isPresent() && this.channel.get().isActive();
	}

	/**
	 * Returns whether the other relay was needed and could not be reached.
	 * @return whether it was
	 */
	boolean down() {
		return !up() && this.downSince != NOTHING;
	}

	/**
	 * Sends a message that is encoded already, once for all links that it goes out on.
	 * @param encoded the bytes of the message; shared, never written to
	 * @param answered whether something should come back
	 */
	void send(byte[] encoded, boolean answered) {
		this.usedAt = this.timers.now();
		if (up()) {
			write(encoded, answered);
			return;
		}
		if (this.waiting.size() == WAITING_MESSAGES) {
			this.waiting.removeFirst();
		}
		this.waiting.add(encoded);
		if (!this.connecting) {
			connect();
		}
	}

	private void write(byte[] encoded, boolean answered) {
		if (pending() > WAITING_BYTES) {
			this.channel.get().close();
			return;
		}
		this.sentAt = this.timers.now();
		if (answered && this.unansweredSince == NOTHING) {
			this.unansweredSince = this.sentAt;
		}
		PeerChannel.send(this.channel.get(), encoded);
	}

	/**
	 * Returns whether less than half of what may wait does.
	 * @return whether it does
	 */
	boolean hasRoom() {
		return !up() || 2 * pending() < WAITING_BYTES;
	}

	private long pending() {
		return this.channel.orElseThrow().unsafe().outboundBuffer().totalPendingWriteBytes();
	}

	/**
	 * Notes that the other relay has said something.
	 */
	void heard() {
		this.unansweredSince = NOTHING;
	}

	/**
	 * Answers a sign of life, unless what was just sent is one.
	 */
	void pulsed() {
		if (up() && this.timers.now() - this.sentAt > JUST_SENT.toMillis()) {
			write(PULSE, false);
		}
	}

	/**
	 * Looks whether the other relay is silent.
	 */
	void look() {
		if (!up() || this.unansweredSince == NOTHING) {
			return;
		}
		long silent = this.timers.now() - this.unansweredSince;
		if (silent > SILENCE.toMillis()) {
			this.channel.get().close();
			return;
		}
		if (silent > UNANSWERED.toMillis()) {
			write(PULSE, true);
		}
	}

	/**
	 * Makes the link no more after its connection is over.
	 */
	void retire() {
		this.wanted = false;
	}

	private void connect() {
		this.connecting = true;
		PeerChannel conversation = this.conversations.get();
		ChannelFuture opening = Sockets.connect(this.loop, this.target, CONNECT_TIMEOUT,
				(opened) -> conversation.setUp(opened, this.traffic));
		opening.addListener((done) -> {
			if (!done.isSuccess()) {
				failed();
			}
		});
	}

	/**
	 * Takes a connection over which the other relay can be spoken to. Where both made one
	 * at the same time, the first stays in use, and what comes on the other is heard.
	 * @param opened the connection
	 * @param own whether this relay made it
	 */
	void opened(Channel opened, boolean own) {
		this.connecting = this.connecting && !own;
		if (up()) {
			return;
		}
		this.channel = Optional.of(opened);
		this.failures = 0;
		this.downSince = NOTHING;
		this.unansweredSince = NOTHING;
		this.listener.linked(this.address);
		while (!this.waiting.isEmpty() && up()) {
			write(this.waiting.removeFirst(), true);
		}
	}

	/**
	 * Takes that a connection is over.
	 * @param closed the connection
	 * @param reason why
	 */
	void closed(Channel closed, String reason) {
		if (this.channel.isEmpty() || this.channel.get() != closed) {
			return;
		}
		this.channel = Optional.empty();
		this.listener.lost(this.address, reason);
		if (!this.connecting && needed() && !reason.equals(PeerChannel.IDLE)) {
			this.connecting = true;
			failed();
		}
	}

	private boolean needed() {
		return this.wanted && this.timers.now() - this.usedAt < NEEDED.toMillis();
	}

	private void failed() {
		long now = this.timers.now();
		if (this.downSince == NOTHING) {
			this.downSince = now;
		}
		if (this.wanted && now - this.downSince > FORGOTTEN.toMillis()) {
			this.downSince = now;
			this.listener.outOfReach(this.address);
		}
		this.waiting.clear();
		this.failures++;
		this.timers.schedule(BACKOFF.after(this.failures, WHOLE_PAUSE), this::again);
	}

	private void again() {
		if (needed() && !up()) {
			connect();
			return;
		}
		this.connecting = false;
		this.downSince = NOTHING;
	}

}
