package io.lentilslip.entry.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Joins the parts of a request, up to the longest body that is allowed and as far as the
 * budget of all bodies goes. Confined to the event loop of its connection.
 */
final class RequestAssembler extends HttpObjectAggregator {

	private final BodyBudget.Part budget;

	private final Connection connection;

	/**
	 * Creates an assembler.
	 * @param limit the most bytes of a body
	 * @param budget where the bytes are taken from
	 * @param connection what answers a request that is too large
	 */
	RequestAssembler(int limit, BodyBudget.Part budget, Connection connection) {
		super(limit);
		this.budget = budget;
		this.connection = connection;
	}

	@Override
	protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
		this.budget.take(content.content().readableBytes());
		super.aggregate(aggregated, content);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		this.connection.refuse(HttpError.bodyTooLarge(maxContentLength()));
	}

	@Override
	protected Object newContinueResponse(HttpMessage start, int limit, ChannelPipeline pipeline) {
		Object response = super.newContinueResponse(start, limit, pipeline);
		if (response instanceof HttpResponse refusal
				&& refusal.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)) {
			return withBody(refusal, HttpError.bodyTooLarge(limit).toJson().toString());
		}
		return response;
	}

	private static HttpResponse withBody(HttpResponse refusal, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(refusal.protocolVersion(), refusal.status(),
				Unpooled.wrappedBuffer(bytes));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		return response;
	}

}
