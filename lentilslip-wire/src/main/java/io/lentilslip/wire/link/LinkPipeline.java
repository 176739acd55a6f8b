package io.lentilslip.wire.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;

/**
 * The order of the handlers of a connection. From the socket inwards: liveness (once
 * open), flushes, frames, and at the end the handshake or, after it, the link. Stateless
 * and safe for use by several threads.
 */
final class LinkPipeline {

	private static final String DECODER = "decoder";

	private static final String HANDSHAKE = "handshake";

	private static final String LINK = "link";

	private static final int LENGTH_BYTES = 4;

	private static final int FLUSH_AFTER = 64;

	private LinkPipeline() {
	}

	/**
	 * Installs the handlers of a connection that has yet to prove itself.
	 * @param channel the channel
	 * @param connection what the handlers share
	 */
	static void install(Channel channel, Connection connection) {
		channel.pipeline()
			.addLast(new FlushConsolidationHandler(FLUSH_AFTER, true))
			.addLast(DECODER, decoder(HandshakeHandler.MAXIMUM_FRAME_BYTES))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(HANDSHAKE, new HandshakeHandler(connection));
	}

	/**
	 * Puts an open link in the place of the handshake. The decoder comes last: bytes that
	 * it holds already go through its successor at once, and the link must be there.
	 * @param channel the channel
	 * @param connection what the handlers share
	 * @param link the link
	 */
	static void open(Channel channel, Connection connection, ChannelLink link) {
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.replace(HANDSHAKE, LINK, link);
		pipeline.addFirst(new LivenessHandler(connection, link::sendHeartbeat));
		link.open();
		if (channel.isActive()) {
			pipeline.replace(DECODER, DECODER, decoder(connection.settings().maximumFrameBytes()));
		}
	}

	/**
	 * Closes a connection from any thread: an open link in good order, one in its
	 * handshake at once.
	 * @param channel the channel
	 */
	static void close(Channel channel) {
		channel.pipeline().fireUserEventTriggered(CloseRequest.INSTANCE);
	}

	/**
	 * Writes nothing, in order to learn when all that was written before is out. It
	 * starts below the frames, which would make an empty frame of it.
	 * @param channel the channel
	 * @return the future of the write
	 */
	static ChannelFuture drain(Channel channel) {
		return channel.pipeline().context(DECODER).writeAndFlush(Unpooled.EMPTY_BUFFER);
	}

	private static ChannelHandler decoder(int maximumFrameBytes) {
		return new LengthFieldBasedFrameDecoder(maximumFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	/**
	 * A request to close a connection, handled by whichever handler is its last. Safe for
	 * use by several threads.
	 */
	enum CloseRequest {

		/**
		 * The only request.
		 */
		INSTANCE

	}

}
