package io.lentilslip.relay.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.vavr.control.Either;

/**
 * One connection between two relays, with length-prefixed frames and an idle timeout.
 * Used by the event loop's thread.
 */
abstract class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

	/**
	 * The close reason of an idle connection, which does not indicate that the other
	 * relay failed.
	 */
	static final String IDLE = "idle";

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private String closeReason = "closed";

	/**
	 * Adds this handler and the handlers that it requires to the pipeline of a
	 * connection.
	 * @param channel the connection
	 * @param traffic counts frames and bytes
	 */
	void initialize(Channel channel, TrafficCounter traffic) {
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
					new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
					new LengthFieldPrepender(LENGTH_BYTES), new FrameCounter(traffic), this);
	}

	/**
	 * Handles a message.
	 * @param context the connection
	 * @param message the message
	 */
	abstract void messageReceived(ChannelHandlerContext context, PeerMessage message);

	/**
	 * Returns why the connection was closed.
	 * @return the reason
	 */
	String closeReason() {
		return this.closeReason;
	}

	static void send(Channel channel, PeerMessage message) {
		send(channel, RelayCodec.encode(message));
	}

	/**
	 * Sends an encoded message.
	 * @param channel the connection
	 * @param encoded the bytes of the message; shared, must not be modified
	 */
	static void send(Channel channel, byte[] encoded) {
		channel.writeAndFlush(Unpooled.wrappedBuffer(encoded), channel.voidPromise());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		Either<String, PeerMessage> message = RelayCodec.decodePeerMessage(ByteBufUtil.getBytes(frame));
		if (message.isLeft()) {
			close(context, message.getLeft());
			return;
		}
		messageReceived(context, message.get());
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent) {
			close(context, IDLE);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close(context, cause.getMessage());
	}

	private void close(ChannelHandlerContext context, String cause) {
		this.closeReason = String.valueOf(cause);
		context.close();
	}

}
