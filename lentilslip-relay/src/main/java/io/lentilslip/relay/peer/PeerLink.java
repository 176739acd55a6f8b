package io.lentilslip.relay.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.retry.Backoff;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.net.Traffic;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;

/**
 * The link over which this relay tells another one what it writes. It is made anew while
 * the other relay is known; entries that were sent on a lost link come to the other relay
 * by the log, and texts are asked for again. Used by the event loop's thread.
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
	 * The most bytes that wait for a relay that reads too slowly before its link ends.
	 */
	private static final int WAITING_BYTES = 8 * 1024 * 1024;

	private final EventLoop loop;

	private final String own;

	private final String address;

	private final PeerListener listener;

	private final Timers timers;

	private final Traffic traffic;

	private Optional<Channel> channel = Optional.empty();

	private int failures;

	private boolean wanted = true;

	private long downSince;

	PeerLink(EventLoop loop, String own, String address, PeerListener listener, Timers timers, Traffic traffic) {
		this.loop = loop;
		this.own = own;
		this.address = address;
		this.listener = listener;
		this.timers = timers;
		this.traffic = traffic;
		this.downSince = timers.now();
	}

	boolean up() {
		return this.channel.isPresent() && this.channel.get().isActive();
	}

	void connect() {
		if (!this.wanted) {
			return;
		}
		int colon = this.address.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(this.address.substring(0, colon),
				Integer.parseInt(this.address.substring(colon + 1)));
		ChannelFuture connecting = Sockets.connect(this.loop, target, CONNECT_TIMEOUT,
				(opened) -> new Receipts().setUp(opened, this.traffic));
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				connectLater();
			}
		});
	}

	void send(PeerMessage message) {
		if (up()) {
			send(RelayCodec.encode(message));
		}
	}

	/**
	 * Sends a message that is encoded already, once for all links that it goes out on.
	 * @param encoded the bytes of the message; shared, never written to
	 */
	void send(byte[] encoded) {
		// A connection that was closed has no buffer any more, some steps before its end
		// is told.
		if (!up()) {
			return;
		}
		if (pending() > WAITING_BYTES) {
			this.channel.get().close();
			return;
		}
		PeerChannel.send(this.channel.get(), encoded);
	}

	/**
	 * Returns whether less than half of what may wait does.
	 * @return whether it does
	 */
	boolean hasRoom() {
		return up() && 2 * pending() < WAITING_BYTES;
	}

	private long pending() {
		return this.channel.orElseThrow().unsafe().outboundBuffer().totalPendingWriteBytes();
	}

	void close() {
		this.wanted = false;
		this.channel.ifPresent(Channel::close);
	}

	private void connectLater() {
		if (this.wanted && this.timers.now() - this.downSince > FORGOTTEN.toMillis()) {
			this.downSince = this.timers.now();
			this.listener.outOfReach(this.address);
		}
		this.failures++;
		this.timers.after(BACKOFF.after(this.failures, WHOLE_PAUSE), this::connect);
	}

	/**
	 * Takes what the other relay says on this link. Used by the event loop's thread.
	 */
	private final class Receipts extends PeerChannel {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			send(context.channel(), new PeerMessage.Greeting(PeerLink.this.own));
		}

		@Override
		void take(ChannelHandlerContext context, PeerMessage message) {
			if (message instanceof PeerMessage.Greeting) {
				up(context.channel());
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (PeerLink.this.channel.isPresent() && PeerLink.this.channel.get() == context.channel()) {
				PeerLink.this.channel = Optional.empty();
				PeerLink.this.downSince = PeerLink.this.timers.now();
				PeerLink.this.listener.lost(PeerLink.this.address, reason());
			}
			connectLater();
		}

		private void up(Channel linked) {
			PeerLink.this.channel = Optional.of(linked);
			PeerLink.this.failures = 0;
			PeerLink.this.listener.linked(PeerLink.this.address);
		}

	}

}
