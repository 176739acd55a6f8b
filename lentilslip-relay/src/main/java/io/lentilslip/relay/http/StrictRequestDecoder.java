package io.lentilslip.relay.http;

import io.lentilslip.core.relay.RouteTable;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests, and refuses one that gives its body's length in two ways. Such a
 * request can hold a second one that only the upstream sees, which would run under
 * nobody's name. Used by one connection.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	StrictRequestDecoder(RouteTable.Limits limits) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes()));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

}
