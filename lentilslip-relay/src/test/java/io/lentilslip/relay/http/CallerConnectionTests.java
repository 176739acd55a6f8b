package io.lentilslip.relay.http;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.lentilslip.core.measurement.Measurement.CallerShed.Cause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerConnectionTests {

	private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final ResponseHead RESPONSE = new ResponseHead(200, List.of(), false, true, Optional.empty());

	private final FakeTimers timers = new FakeTimers();

	private final RecordingListener listener = new RecordingListener();

	private final HeldBytes heldBytes = new HeldBytes(20_000);

	private final List<Cause> shed = new ArrayList<>();

	private final CallerConnection connection = newConnection();

	private final EmbeddedChannel channel = new EmbeddedChannel(this.connection);

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	// Guards against ignoring the time that an upload took.
	@Test
	void timeOfARequestIsThatOfItsHead() {
		this.timers.now = 10;
		this.channel.writeInbound(head());
		this.timers.now = 310;
		this.channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
		assertThat(this.listener.headTimes).containsExactly(10L);
	}

	// Guards against ignoring the time that a pipelined request was queued.
	@Test
	void timeOfAQueuedRequestIsThatOfItsHead() {
		CallerConnection decoded = newConnection();
		EmbeddedChannel decoding = decodingChannel(decoded);
		this.timers.now = 10;
		decoding.writeInbound(bytes(GET));
		this.timers.now = 20;
		decoding.writeInbound(bytes(GET + GET.substring(0, 5)));
		this.timers.now = 30;
		decoding.writeInbound(bytes(GET.substring(5)));
		this.timers.now = 400;
		decoded.respond(RESPONSE, new byte[0]);
		decoded.respond(RESPONSE, new byte[0]);
		assertThat(this.listener.headTimes).containsExactly(10L, 20L, 30L);
		decoding.finishAndReleaseAll();
	}

	// Guards against ignoring the time that a request waited in the accept queue.
	@Test
	void requestOfANewConnectionMayHaveArrivedWithIt() {
		this.timers.now = 900;
		this.timers.earliestArrival = OptionalLong.of(300);
		EmbeddedChannel opened = new EmbeddedChannel(newConnection());
		this.timers.now = 950;
		this.timers.earliestArrival = OptionalLong.of(880);
		opened.writeInbound(head(), LastHttpContent.EMPTY_LAST_CONTENT);
		assertThat(this.listener.headTimes).containsExactly(300L);
		opened.finishAndReleaseAll();
	}

	// Guards against counting the time for which a caller keeps a connection open.
	@Test
	void requestOfAnEarlierConnectionArrivedAfterTheLastPoll() {
		this.timers.now = 900;
		this.timers.earliestArrival = OptionalLong.of(880);
		this.channel.writeInbound(head(), LastHttpContent.EMPTY_LAST_CONTENT);
		assertThat(this.listener.headTimes).containsExactly(880L);
	}

	// Guards against bodies that trickle in on many connections and fill the memory.
	@Test
	void bodyBeyondTheMemoryForSlowCallersIsRefusedAsNotRun() {
		EmbeddedChannel other = new EmbeddedChannel(newConnection());
		other.writeInbound(head(), content(10_000));
		long heldByOther = this.heldBytes.held();
		assertThat(heldByOther).isGreaterThanOrEqualTo(10_000);
		this.channel.writeInbound(head(), content(6_000), content(6_000));
		HttpResponse refused = this.channel.readOutbound();
		assertThat(refused.status()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
		assertThat(refused.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
		assertThat(this.channel.isActive()).isFalse();
		assertThat(this.listener.headTimes).isEmpty();
		assertThat(this.heldBytes.held()).isEqualTo(heldByOther);
		assertThat(this.shed).containsExactly(Cause.MEMORY);
		other.close();
		assertThat(this.heldBytes.held()).isZero();
		other.finishAndReleaseAll();
	}

	@Test
	void bytesAreReleasedWithTheResponse() {
		this.channel.writeInbound(head(), content(300), LastHttpContent.EMPTY_LAST_CONTENT);
		assertThat(this.heldBytes.held()).isGreaterThanOrEqualTo(300);
		this.connection.respond(RESPONSE, new byte[50]);
		assertThat(this.heldBytes.held()).isZero();
	}

	// Guards against running a request whose caller stopped within it.
	@Test
	void cutRequestIsNotPassedOn() {
		String head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request: r\r\n";
		for (String whole : List.of(head + "Content-Length: 4\r\n\r\nbody",
				head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")) {
			for (int length = 0; length <= whole.length(); length++) {
				this.listener.headTimes.clear();
				EmbeddedChannel decoding = decodingChannel(newConnection());
				decoding.writeInbound(Unpooled.copiedBuffer(whole.substring(0, length), StandardCharsets.ISO_8859_1));
				decoding.finishAndReleaseAll();
				assertThat(this.listener.headTimes).as("%d bytes", length).hasSize((length < whole.length()) ? 0 : 1);
			}
		}
	}

	// Guards against a body that the caller takes for the beginning of the next response.
	@Test
	void refusalOfAHeadRequestHasNoBody() {
		this.channel.writeInbound(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.HEAD, "/x"),
				LastHttpContent.EMPTY_LAST_CONTENT);
		this.connection.respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.wrappedBuffer(new byte[7])));
		FullHttpResponse refusal = this.channel.readOutbound();
		assertThat(refusal.content().isReadable()).isFalse();
		assertThat(refusal.headers().get(HttpHeaderNames.CONTENT_LENGTH)).isEqualTo("7");
	}

	// Guards against a body that is taken for another request, or is passed on encoded.
	@Test
	void transferEncodingOtherThanChunkedIsRefused() {
		for (String coding : List.of("identity", "gzip", "gzip, chunked", "chunked, chunked", "xchunked", "",
				"chunked\r\nTransfer-Encoding: chunked")) {
			assertThat(respondTo(
					"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
				.as(coding)
				.startsWith("HTTP/1.1 400 ");
			assertThat(this.listener.headTimes).as(coding).isEmpty();
		}
	}

	// Guards against a path that reaches the upstream changed, since the library decodes
	// and encodes it by different character sets.
	@Test
	void pathBeyondAsciiIsRefused() {
		assertThat(respondTo("GET /caf\u00e9 HTTP/1.1\r\nHost: h\r\n\r\n")).startsWith("HTTP/1.1 400 ");
		assertThat(this.listener.headTimes).isEmpty();
	}

	// Guards against running a request whose response could not be sent.
	@Test
	void requestBehindAResponseThatClosesTheConnectionIsNotPassedOn() {
		CallerConnection decoded = newConnection();
		EmbeddedChannel decoding = decodingChannel(decoded);
		decoding.writeInbound(bytes("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + GET));
		decoded.respond(RESPONSE, new byte[0]);
		assertThat(this.listener.headTimes).hasSize(1);
		assertThat(decoding.isActive()).isFalse();
		decoding.finishAndReleaseAll();
	}

	private String respondTo(String request) {
		this.listener.headTimes.clear();
		EmbeddedChannel decoding = decodingChannel(newConnection());
		decoding.writeInbound(bytes(request));
		ByteBuf response = decoding.readOutbound();
		String text = (response != null) ? response.toString(StandardCharsets.ISO_8859_1) : "";
		ReferenceCountUtil.release(response);
		decoding.finishAndReleaseAll();
		return text;
	}

	// Guards against events that callers don't read and that nothing counts.
	@Test
	void eventIsHeldUntilItIsWritten() {
		List<ChannelPromise> writes = new ArrayList<>();
		this.channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {

			@Override
			public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
				ReferenceCountUtil.release(message);
				writes.add(promise);
			}

		});
		this.channel.writeInbound(head(), LastHttpContent.EMPTY_LAST_CONTENT);
		long before = this.heldBytes.held();
		this.connection.startStream(RESPONSE);
		this.connection.writeContent(new byte[700]);
		assertThat(this.heldBytes.held()).isEqualTo(before + 1_400);
		writes.getLast().setSuccess();
		assertThat(this.heldBytes.held()).isEqualTo(before);
		this.connection.writeContent(new byte[70]);
		writes.getLast().setFailure(new ClosedChannelException());
		assertThat(this.heldBytes.held()).isEqualTo(before);
	}

	// Guards against buffering the whole stream of a caller that does not read.
	@Test
	void listenerIsNotifiedWhenACallerDoesNotRead() {
		this.channel.writeInbound(head(), LastHttpContent.EMPTY_LAST_CONTENT);
		this.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
		this.channel.runPendingTasks();
		this.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
		this.channel.runPendingTasks();
		assertThat(this.listener.writability).containsExactly(false, true);
	}

	// Guards against decoded requests that fill the memory while a response is due.
	@Test
	void pipelinedRequestsWaitAsTheyWereReceived() {
		CallerConnection decoded = newConnection();
		EmbeddedChannel decoding = decodingChannel(decoded);
		decoding.writeInbound(bytes(GET + "GET /x HTTP/1.1\r\n" + "a:b\r\n".repeat(1_000) + "\r\n"));
		assertThat(this.listener.headTimes).hasSize(1);
		assertThat(this.heldBytes.held()).isLessThan(10_000);
		assertThat(this.shed).isEmpty();
		decoding.finishAndReleaseAll();
		assertThat(this.heldBytes.held()).isZero();
	}

	// Guards against reading without end behind a request that waits.
	@Test
	void connectionIsNotReadWhileManyBytesWaitForAResponse() {
		CallerConnection decoded = newConnection();
		EmbeddedChannel decoding = decodingChannel(decoded);
		decoding.writeInbound(bytes(GET), bytes("GET /x HTTP/1.1\r\n" + "a".repeat(17_000)));
		assertThat(decoding.config().isAutoRead()).isFalse();
		decoded.respond(RESPONSE, new byte[0]);
		assertThat(decoding.config().isAutoRead()).isTrue();
		decoding.finishAndReleaseAll();
	}

	// Guards against decoded lines of incomplete heads that are not counted.
	@Test
	void headOfManyLinesIsRefusedAsNotRunIfThereIsNoRoom() {
		assertThat(respondTo("GET /x HTTP/1.1\r\n" + "a:\r\n".repeat(1_000))).startsWith("HTTP/1.1 503 ");
		assertThat(this.heldBytes.held()).isZero();
		assertThat(this.shed).containsExactly(Cause.MEMORY);
	}

	// Guards against costly requests that keep out small ones.
	@Test
	void largestIncompleteRequestIsRefusedInFavorOfASmallOne() {
		EmbeddedChannel large = decodingChannel(newConnection());
		large.writeInbound(bytes("POST /x HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + "x".repeat(15_000)));
		assertThat(this.shed).isEmpty();
		CallerConnection decoded = newConnection();
		EmbeddedChannel small = decodingChannel(decoded);
		small.writeInbound(bytes("POST /x HTTP/1.1\r\nContent-Length: 7000\r\n\r\n" + "x".repeat(7_000)));
		assertThat(this.listener.headTimes).hasSize(1);
		ByteBuf refusal = large.readOutbound();
		assertThat(refusal.toString(StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 503 ");
		refusal.release();
		assertThat(large.isActive()).isFalse();
		small.finishAndReleaseAll();
		assertThat(this.heldBytes.held()).isZero();
	}

	// Guards against memory that stays counted after a caller has left, at any point.
	@Test
	void nothingIsHeldForACallerThatHasLeft() {
		String whole = "POST /x HTTP/1.1\r\nHost: h\r\na:\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nt: r\r\n\r\n"
				+ GET + GET.substring(0, 9);
		for (int length = 0; length <= whole.length(); length++) {
			EmbeddedChannel leaving = decodingChannel(newConnection());
			leaving.writeInbound(bytes(whole.substring(0, length)));
			leaving.finishAndReleaseAll();
			assertThat(this.heldBytes.held()).as("%d bytes", length).isZero();
		}
	}

	private CallerConnection newConnection() {
		return new CallerConnection(this.listener, this.timers, RouteTable.Limits::defaults, () -> false,
				this.heldBytes, new RecordingOwner());
	}

	private static EmbeddedChannel decodingChannel(CallerConnection connection) {
		return new EmbeddedChannel(StrictRequestDecoder.of(RouteTable.Limits.defaults(), connection),
				new HttpResponseEncoder(), connection);
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	private static HttpContent content(int bytes) {
		return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
	}

	private static HttpRequest head() {
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
	}

	/**
	 * Clock set by the test.
	 */
	private static final class FakeTimers implements Timers {

		private long now;

		private OptionalLong earliestArrival = OptionalLong.empty();

		@Override
		public long earliestArrival() {
			return this.earliestArrival.orElse(this.now);
		}

		@Override
		public void schedule(Duration delay, Runnable task) {
			throw new UnsupportedOperationException();
		}

		@Override
		public long now() {
			return this.now;
		}

	}

	/**
	 * Listener that records when the heads of requests were read.
	 */
	private static final class RecordingListener implements CallerListener {

		private final List<Long> headTimes = new ArrayList<>();

		private final List<Boolean> writability = new ArrayList<>();

		@Override
		public long onRequest(CallerConnection connection, HttpRequest request, byte[] body, long headReadAt) {
			this.headTimes.add(headReadAt);
			return this.headTimes.size();
		}

		@Override
		public void onWritabilityChanged(long exchange, boolean writable) {
			this.writability.add(writable);
		}

		@Override
		public void onDisconnect(long exchange) {
		}

	}

	/**
	 * Owner that records why callers are refused.
	 */
	private final class RecordingOwner implements CallerConnection.Owner {

		@Override
		public void requestAccepted(CallerConnection accepted) {
		}

		@Override
		public void responseSent(CallerConnection answered) {
		}

		@Override
		public void readingChanged(CallerConnection connection, boolean reading) {
		}

		@Override
		public void shed(Cause cause) {
			CallerConnectionTests.this.shed.add(cause);
		}

	}

}
