package io.lentilslip.relay.http;

import io.lentilslip.core.relay.RouteTable;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Request decoder that rejects requests with both {@code Content-Length} and {@code
 * Transfer-Encoding}, which allow request smuggling: the upstream could parse part of the
 * body as a second request. Used by one connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	StrictRequestDecoder(RouteTable.Limits limits) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes()));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("Request has both Content-Length and Transfer-Encoding");
	}

}
