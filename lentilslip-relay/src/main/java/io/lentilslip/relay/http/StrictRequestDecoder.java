package io.lentilslip.relay.http;

import java.util.List;

import io.lentilslip.core.relay.RouteTable;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Request decoder that decodes one request at a time: what is received while a response
 * is due stays as received, since decoded it could take many times the memory. Rejects
 * requests with both {@code Content-Length} and {@code Transfer-Encoding}, which allow
 * request smuggling: the upstream could parse part of the body as a second request. Used
 * by one connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private final CallerConnection connection;

	private boolean decoding;

	private StrictRequestDecoder(HttpDecoderConfig config, CallerConnection connection) {
		super(config);
		this.connection = connection;
	}

	/**
	 * Creates the decoder of a connection.
	 * @param limits the limits of requests
	 * @param connection the connection, which receives the requests
	 * @return the decoder
	 */
	static StrictRequestDecoder of(RouteTable.Limits limits, CallerConnection connection) {
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes())
			.setHeadersFactory(
					CountedHeaders.factory(DefaultHttpHeadersFactory.headersFactory(), connection::holdDecoded))
			.setTrailersFactory(
					CountedHeaders.factory(DefaultHttpHeadersFactory.trailersFactory(), connection::holdDecoded));
		StrictRequestDecoder decoder = new StrictRequestDecoder(config, connection);
		connection.setDecoder(decoder);
		return decoder;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (message instanceof ByteBuf bytes) {
			this.connection.bytesReceived(bytes.readableBytes());
		}
		read(ctx, message);
	}

	/**
	 * Decodes the next request if it has been received.
	 * @param ctx the context of this handler
	 * @throws Exception if the decoder fails
	 */
	void resume(ChannelHandlerContext ctx) throws Exception {
		// A response may be complete before its request has been passed on, and what
		// follows is then decoded anyway.
		if (!this.decoding) {
			read(ctx, Unpooled.EMPTY_BUFFER);
		}
	}

	private void read(ChannelHandlerContext ctx, Object message) throws Exception {
		this.decoding = true;
		try {
			super.channelRead(ctx, message);
		}
		finally {
			this.decoding = false;
		}
		this.connection.bytesWaiting(waitingBytes(), internalBuffer().capacity());
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		switch (this.connection.inputState()) {
			case ACCEPTED -> super.decode(ctx, buffer, out);
			case WAITING -> {
			}
			case DROPPED -> buffer.skipBytes(buffer.readableBytes());
		}
	}

	/**
	 * Returns the number of received bytes that have not been decoded.
	 * @return the number
	 */
	int waitingBytes() {
		return internalBuffer().readableBytes();
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("Request has both Content-Length and Transfer-Encoding");
	}

	/**
	 * What becomes of received bytes. Safe for use by several threads.
	 */
	enum InputState {

		/**
		 * They are decoded.
		 */
		ACCEPTED,

		/**
		 * They wait until a response is complete.
		 */
		WAITING,

		/**
		 * They are not decoded, as the connection is about to be closed.
		 */
		DROPPED

	}

}
