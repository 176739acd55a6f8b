package io.lentilslip.wire.link;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.LinkCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A link on a Netty channel. What arrives is handled on the channel's event loop; sending
 * and closing are safe for use by several threads.
 */
final class ChannelLink extends SimpleChannelInboundHandler<ByteBuf> implements Link {

	private final Channel channel;

	private final Connection connection;

	private final LinkMessage.Hello peer;

	private final AtomicLong pendingBytes = new AtomicLong();

	private final AtomicBoolean closing = new AtomicBoolean();

	/**
	 * Creates a link.
	 * @param channel the channel
	 * @param connection what the handlers share
	 * @param peer what the peer said first
	 */
	ChannelLink(Channel channel, Connection connection, LinkMessage.Hello peer) {
		this.channel = channel;
		this.connection = connection;
		this.peer = peer;
	}

	@Override
	public LinkMessage.Hello peer() {
		return this.peer;
	}

	@Override
	public SocketAddress address() {
		return this.channel.remoteAddress();
	}

	@Override
	public long pendingBytes() {
		return this.pendingBytes.get();
	}

	@Override
	public SendResult send(LinkMessage message) {
		if (isOwn(message) || !this.connection.side().maySend(message)) {
			throw new IllegalArgumentException("not for this side to send: " + message.getClass().getSimpleName());
		}
		return write(message);
	}

	@Override
	public void close() {
		if (this.closing.compareAndSet(false, true)) {
			this.connection.ending(LinkClosure.CLOSED_HERE);
			this.channel.eventLoop().execute(this::drain);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		if (this.connection.isEnding()) {
			return;
		}
		byte[] bytes = ByteBufUtil.getBytes(frame);
		this.connection.counters().countReceived(bytes.length);
		LinkCodec.decode(bytes).peek(this::received).peekLeft(this::unread);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.connection.closed(this);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == LinkPipeline.CloseRequest.INSTANCE) {
			close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.connection.end(this.channel, cause);
	}

	/**
	 * Tells the listener that this link has opened.
	 */
	void open() {
		this.connection.listener().opened(this, this.peer);
	}

	/**
	 * Sends a heartbeat.
	 */
	void sendHeartbeat() {
		write(new LinkMessage.Heartbeat());
	}

	private SendResult write(LinkMessage message) {
		if (this.connection.isEnding() || !this.channel.isActive()) {
			return SendResult.CLOSED;
		}
		byte[] bytes = LinkCodec.encode(message);
		if (bytes.length > this.connection.settings().maximumFrameBytes()) {
			return SendResult.TOO_LARGE;
		}
		if (!reserve(bytes.length)) {
			this.connection.end(this.channel, LinkClosure.OVERLOADED);
			return SendResult.OVERLOADED;
		}
		this.connection.counters().countSent(bytes.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(bytes))
			.addListener((written) -> this.pendingBytes.addAndGet(-bytes.length));
		return SendResult.ACCEPTED;
	}

	// A peer that reads slowly, or not at all, would otherwise make this process hold
	// all that it is sent until memory is gone, and with it every other link.
	private boolean reserve(int bytes) {
		int limit = this.connection.settings().maximumPendingBytes();
		long before = this.pendingBytes
			.getAndUpdate((pending) -> (pending + bytes <= limit) ? pending + bytes : pending);
		return before + bytes <= limit;
	}

	private void received(LinkMessage message) {
		if (message instanceof LinkMessage.Heartbeat) {
			return;
		}
		if (isOwn(message) || !this.connection.side().other().maySend(message)) {
			this.connection.end(this.channel, LinkClosure.UNEXPECTED_FRAME);
			return;
		}
		this.connection.listener().received(this, message);
	}

	private void unread(CodecProblem problem) {
		if (problem instanceof CodecProblem.UnknownKind unknown) {
			this.connection.counters().countUnread();
			this.connection.listener().unread(this, unknown);
			return;
		}
		this.connection.end(this.channel, LinkClosure.MALFORMED_FRAME);
	}

	private void drain() {
		if (!this.channel.isActive()) {
			return;
		}
		long nanos = this.connection.settings().handshakeTimeout().toNanos();
		ScheduledFuture<?> limit = this.channel.eventLoop()
			.schedule(() -> this.channel.close(), nanos, TimeUnit.NANOSECONDS);
		this.channel.closeFuture().addListener((closed) -> limit.cancel(false));
		LinkPipeline.drain(this.channel).addListener((ChannelFuture drained) -> finish());
	}

	// Closing a socket that still has unread bytes resets the connection, and the peer
	// could lose the last messages before it reads them. Ending the output alone lets the
	// peer read to the end and close.
	private void finish() {
		if (this.channel instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
			return;
		}
		this.channel.close();
	}

	private static boolean isOwn(LinkMessage message) {
		return message instanceof LinkMessage.Hello || message instanceof LinkMessage.Heartbeat;
	}

}
