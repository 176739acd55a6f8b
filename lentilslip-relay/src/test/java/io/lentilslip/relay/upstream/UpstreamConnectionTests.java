package io.lentilslip.relay.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.measurement.Measurement.ResponseUnmatched.Kind;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.relay.http.StrictResponseDecoder;
import io.lentilslip.relay.net.HeldBytes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamConnectionTests implements UpstreamConnection.Listener {

	private final HeldBytes heldBytes = new HeldBytes(1_000_000);

	private UpstreamConnection connection = new UpstreamConnection(new UpstreamClientTests.PlainDialect(), this,
			this.heldBytes);

	private EmbeddedChannel channel = new EmbeddedChannel(this.connection);

	private final List<String> outcomes = new ArrayList<>();

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	@Test
	void upstreamIsNotReadWhileReadingIsPaused() {
		send("r1");
		this.connection.setReading(false);
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.connection.setReading(true);
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	// Guards against a connection that is never read again: the end of a response may be
	// read together with the data that paused the reading.
	@Test
	void reusedConnectionIsReadAfterAPause() {
		send("r1");
		this.connection.setReading(false);
		this.channel.writeInbound(response());
		assertThat(this.outcomes).containsExactly("idle", "response");
		send("r2");
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	// Guards against passing on the first part of a response as if it were whole.
	@Test
	void responseWithoutALengthIsIncompleteUnlessTheUpstreamEndsIt() {
		EmbeddedChannel decoding = decodingChannel();
		send("r1");
		decoding.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\nfirst half"));
		decoding.close();
		assertThat(this.outcomes).containsExactly("failure BROKEN");
	}

	@Test
	void responseWithoutALengthIsCompleteOnceTheUpstreamEndsIt() {
		EmbeddedChannel decoding = decodingChannel();
		send("r1");
		decoding.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\nwhole"));
		decoding.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(this.outcomes).containsExactly("response");
		assertThat(decoding.isOpen()).isFalse();
	}

	// Guards against losing a whole response because its connection failed afterwards.
	@Test
	void responseWithALengthIsCompleteHoweverItsConnectionEnds() {
		EmbeddedChannel decoding = decodingChannel();
		send("r1");
		decoding.writeInbound(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"));
		decoding.close();
		assertThat(this.outcomes).containsExactly("idle", "response");
	}

	@Test
	void idleConnectionIsClosedOnceTheUpstreamEndsIt() {
		EmbeddedChannel decoding = decodingChannel();
		decoding.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(decoding.isOpen()).isFalse();
	}

	// Guards against what is held of a stream that is over.
	@Test
	void eventIsHeldUntilItIsCompleteOrItsAttemptHasEnded() {
		EmbeddedChannel decoding = decodingChannel();
		sendStream("r1");
		decoding.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: "));
		assertThat(this.heldBytes.held()).isEqualTo(12);
		decoding.writeInbound(bytes("whole\n\n"));
		assertThat(this.heldBytes.held()).isZero();
		decoding.writeInbound(bytes("id: 2\n"));
		assertThat(this.heldBytes.held()).isEqualTo(6);
		this.connection.cancel();
		assertThat(this.heldBytes.held()).isZero();
	}

	// Guards against events without end on many connections that fill the heap.
	@Test
	void largeEventFailsItsAttemptWhileTooMuchIsHeld() {
		this.heldBytes.hold(this.heldBytes.limit());
		EmbeddedChannel decoding = decodingChannel();
		sendStream("r1");
		decoding.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\ndata: " + "x".repeat(60 * 1024)));
		assertThat(this.outcomes).isEmpty();
		decoding.writeInbound(bytes("x".repeat(8 * 1024)));
		assertThat(this.outcomes).containsExactly("failure UNREADABLE");
		assertThat(this.heldBytes.held()).isEqualTo(this.heldBytes.limit());
	}

	private EmbeddedChannel decodingChannel() {
		this.connection = new UpstreamConnection(new UpstreamClientTests.PlainDialect(), this, this.heldBytes);
		this.channel = new EmbeddedChannel(new StrictResponseDecoder(), this.connection);
		return this.channel;
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	@Override
	public void onIdle(UpstreamConnection idle) {
		this.outcomes.add("idle");
	}

	@Override
	public void onClosed(UpstreamConnection closed) {
	}

	@Override
	public void onUnmatched(Kind kind, Optional<String> named, OptionalInt status, CarriedRequests carried) {
		this.outcomes.add("unmatched " + kind);
	}

	private void send(String id) {
		send(id, false);
	}

	private void sendStream(String id) {
		send(id, true);
	}

	private void send(String id, boolean stream) {
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
		this.connection.send(new UpstreamConnection.OutgoingRequest(id, HttpMethod.GET, () -> request, Long.MAX_VALUE,
				stream, new RecordingListener()));
	}

	private static FullHttpResponse response() {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
				Unpooled.wrappedBuffer("answer".getBytes(StandardCharsets.ISO_8859_1)));
		HttpUtil.setContentLength(response, response.content().readableBytes());
		return response;
	}

	/**
	 * Listener that records responses.
	 */
	private final class RecordingListener implements AttemptListener {

		@Override
		public void onWritten() {
		}

		@Override
		public void onResponse(ResponseHead head, byte[] body) {
			UpstreamConnectionTests.this.outcomes.add("response");
		}

		@Override
		public void onStreamStart(ResponseHead head) {
		}

		@Override
		public void onEvent(long number, byte[] raw, byte[] data) {
		}

		@Override
		public void onStreamEnd() {
		}

		@Override
		public void onFailure(FailureCause cause) {
			UpstreamConnectionTests.this.outcomes.add("failure " + cause);
		}

	}

}
