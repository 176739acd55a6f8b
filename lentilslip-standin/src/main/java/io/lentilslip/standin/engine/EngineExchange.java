package io.lentilslip.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request on a connection and the response to it. Exactly one response is written, or
 * the connection is closed. Safe for use by several threads.
 */
final class EngineExchange {

	private static final int SERVER_ERROR = 500;

	private final EngineConnection connection;

	private final Channel channel;

	private final boolean keepAlive;

	private Runnable disconnected = () -> {
	};

	private boolean gone;

	/**
	 * Creates an exchange without a response.
	 * @param connection the connection
	 * @param channel the connection's channel
	 * @param keepAlive whether the connection stays open after the response
	 */
	EngineExchange(EngineConnection connection, Channel channel, boolean keepAlive) {
		this.connection = connection;
		this.channel = channel;
		this.keepAlive = keepAlive;
	}

	/**
	 * Sets what happens when the connection closes; at once if it is closed already.
	 * @param action what happens
	 */
	synchronized void onDisconnect(Runnable action) {
		this.disconnected = action;
		if (this.gone) {
			action.run();
		}
	}

	/**
	 * Notes that the connection is closed.
	 */
	synchronized void disconnect() {
		this.gone = true;
		this.disconnected.run();
	}

	/**
	 * Responds with a JSON document.
	 * @param status the HTTP status
	 * @param body the document
	 */
	void json(int status, JsonNode body) {
		respond(status, HttpHeaderValues.APPLICATION_JSON.toString(), body.toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Responds with octets.
	 * @param body the octets
	 */
	void octets(byte[] body) {
		respond(HttpResponseStatus.OK.code(), HttpHeaderValues.APPLICATION_OCTET_STREAM.toString(), body);
	}

	private void respond(int status, String type, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		HttpUtil.setContentLength(response, body.length);
		HttpUtil.setKeepAlive(response, this.keepAlive);
		end(response);
	}

	/**
	 * Responds with what a failure means to the caller. A life of the engine that is over
	 * gives no answer, as a process that died.
	 * @param failure the failure
	 */
	void fail(Throwable failure) {
		switch (failure) {
			case CompletionException wrapped when wrapped.getCause() != null -> fail(wrapped.getCause());
			case RejectedRequestException rejected -> json(rejected.status(), EngineJson.error(rejected));
			case RejectedExecutionException over -> this.channel.close();
			default -> json(SERVER_ERROR, EngineJson.fault(failure));
		}
	}

	/**
	 * Begins a stream of server-sent events.
	 */
	void startStream() {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM);
		response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
		HttpUtil.setTransferEncodingChunked(response, true);
		HttpUtil.setKeepAlive(response, this.keepAlive);
		this.channel.write(response);
	}

	/**
	 * Sends a server-sent event. A caller that reads too slowly is disconnected, since
	 * what it has not read would otherwise fill the engine's own memory.
	 * @param data the event's data, without line breaks
	 */
	void event(String data) {
		byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
		if (this.channel.isActive() && !this.channel.isWritable()) {
			this.channel.close();
		}
	}

	/**
	 * Ends the stream.
	 */
	void endStream() {
		end(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * The exchange ends before its last write, for the caller may send its next request
	 * as soon as it has read the response.
	 * @param last the last part of the response
	 */
	private void end(HttpObject last) {
		this.connection.end(this);
		ChannelFuture written = this.channel.writeAndFlush(last);
		if (!this.keepAlive) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
	}

}
