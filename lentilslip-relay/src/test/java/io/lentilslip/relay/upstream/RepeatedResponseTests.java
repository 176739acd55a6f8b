package io.lentilslip.relay.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.measurement.Measurement.ResponseUnmatched.Kind;
import io.lentilslip.core.relay.CallerIdentity;
import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.http.StrictResponseDecoder;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an upstream that responds twice to a request, the second time late. The test
 * plays the upstream, so that it decides where the second response arrives.
 */
class RepeatedResponseTests implements AttemptListener, UpstreamConnection.Listener {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final BlockingQueue<UnmatchedResponse> unmatched = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

	private final UpstreamClient client = new UpstreamClient(this.loop, new UpstreamClientTests.PlainDialect(),
			new FixedClock(), new HeldBytes(1_000_000), this.unmatched::add);

	private ServerSocket server;

	private int exchanges;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
	}

	@AfterEach
	void close() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
		this.server.close();
	}

	// Guards against an upstream that responds twice without any trace of it.
	@Test
	void repeatedResponseIsReported() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 200, "first"));
			assertThat(outcome()).isEqualTo("200 first");
			send("b", HttpMethod.GET);
			connection.readHead();
			connection.write(response("a", 503, "late") + response("c", 200, "other") + response("b", 200, "second"));
			assertThat(outcome()).isEqualTo("200 second");
			assertThat(report()).isEqualTo(expected(Kind.REPEATED, Optional.of("a"), "b", 503, 2));
			assertThat(report()).isEqualTo(expected(Kind.OTHER_REQUEST, Optional.of("c"), "b", 200, 2));
		}
	}

	@Test
	void responseOnAnIdleConnectionIsReportedAndClosesIt() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 200, "first"));
			assertThat(outcome()).isEqualTo("200 first");
			connection.write(response("a", 500, "late"));
			assertThat(report()).isEqualTo(expected(Kind.IDLE, Optional.of("a"), "a", 500, 1));
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	@Test
	void responseReadTogetherWithTheFirstIsReported() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 200, "first") + response("b", 429, "late"));
			assertThat(outcome()).isEqualTo("200 first");
			assertThat(report()).isEqualTo(expected(Kind.AFTER_RESPONSE, Optional.of("b"), "a", 429, 1));
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	// Guards against a part of a late response that hides its status.
	@Test
	void partOfALateResponseIsReportedWithoutItsId() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 200, "first") + "HTTP/1.1 429 Too Many");
			assertThat(outcome()).isEqualTo("200 first");
			assertThat(report()).isEqualTo(expected(Kind.AFTER_RESPONSE, Optional.empty(), "a", 429, 1));
		}
	}

	// The caller sends a request again that was rejected or failed. Guards against taking
	// the late response to the first attempt, which may be a success or say that the
	// request was not run, for the response to the second one.
	@ParameterizedTest
	@CsvSource({ "503, 200", "500, 200", "503, 503", "200, 503", "200, 200" })
	void responseToAnEarlierAttemptWithTheSameIdIsNotTaken(int first, int late) throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", first, "first"));
			assertThat(outcome()).isEqualTo(first + " first");
			respondOnTheNextConnection(response("a", 500, "second"));
			send("a", HttpMethod.GET);
			connection.write(response("a", late, "late"));
			assertThat(outcome()).isEqualTo("500 second");
		}
	}

	// Guards against remembering the last request of a connection only.
	@Test
	void connectionIsNotUsedForAnIdThatItCarriedBefore() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 503, "first"));
			assertThat(outcome()).isEqualTo("503 first");
			send("b", HttpMethod.GET);
			connection.readHead();
			connection.write(response("b", 200, "between"));
			assertThat(outcome()).isEqualTo("200 between");
			send("a", HttpMethod.GET);
			try (Server other = accept()) {
				other.write(response("a", 200, "second"));
				assertThat(outcome()).isEqualTo("200 second");
				send("b", HttpMethod.GET);
				other.readHead();
				other.write(response("b", 200, "third"));
				assertThat(outcome()).isEqualTo("200 third");
			}
		}
	}

	// Guards against idle connections that add up while a caller repeats an id.
	@Test
	void newConnectionReplacesOneThatCannotCarryTheId() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 503, "first"));
			assertThat(outcome()).isEqualTo("503 first");
			respondOnTheNextConnection(response("a", 503, "second"));
			send("a", HttpMethod.GET);
			assertThat(outcome()).isEqualTo("503 second");
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	// Guards against an id that is forgotten while its connection is still used.
	@Test
	void connectionIsClosedAfterItsLastRequest() throws Exception {
		send("first", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("first", 503, ""));
			outcome();
			for (int i = 2; i <= 1024; i++) {
				send("r" + i, HttpMethod.GET);
				connection.readHead();
				connection.write(response("r" + i, 200, ""));
				assertThat(outcome()).isEqualTo("200 ");
			}
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	// Guards against an attempt that fails, as one that may have run, because the late
	// responses to several earlier requests arrive at once.
	@Test
	void lateResponsesToSeveralRequestsAreSkipped() throws Exception {
		String late = "";
		send("r0", HttpMethod.GET);
		try (Server connection = accept()) {
			for (int i = 0; i < 5; i++) {
				connection.write(response("r" + i, 200, "first"));
				assertThat(outcome()).isEqualTo("200 first");
				late += response("r" + i, 503, "late");
				send("r" + (i + 1), HttpMethod.GET);
				connection.readHead();
			}
			connection.write(late + response("r5", 200, "last"));
			assertThat(outcome()).isEqualTo("200 last");
		}
	}

	// Guards against an attempt that fails because of the size of a late response.
	@Test
	void largeLateResponseIsSkipped() throws Exception {
		String large = "x".repeat(1_200_000);
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 503, ""));
			assertThat(outcome()).isEqualTo("503 ");
			send("b", HttpMethod.GET);
			connection.readHead();
			connection.write(response("a", 200, large) + response("b", 200, "own"));
			assertThat(outcome()).isEqualTo("200 own");
		}
	}

	// A response to HEAD has a length but no body. Guards against a late one that
	// includes the next response, and against a late body that is decoded as a response.
	@ParameterizedTest
	@CsvSource({ "HEAD, GET", "GET, HEAD" })
	void lateResponseToAnotherMethodDoesNotMoveTheNextResponse(String first, String second) throws Exception {
		send("a", HttpMethod.valueOf(first));
		try (Server connection = accept()) {
			String late = first.equals("HEAD") ? head("a", 200, 300) : response("a", 200, "late");
			connection.write(late);
			assertThat(outcome()).startsWith("200 ");
			String due = second.equals("HEAD") ? head("b", 500, 300) : response("b", 500, "");
			respondOnTheNextConnection(due);
			send("b", HttpMethod.valueOf(second));
			connection.write(late + due);
			assertThat(outcome()).isEqualTo("500 ");
		}
	}

	// Guards against a part of a late response, cut at any byte and behind an
	// informational response, that reaches the request in flight.
	@ParameterizedTest
	@ValueSource(
			strings = { "Content-Length: 4\r\n\r\nlate", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
					"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: no\n\n\r\n0\r\n\r\n" })
	void lateResponseIsSkippedHoweverItIsFramedAndRead(String rest) {
		String late = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + UpstreamClientTests.REQUEST_ID + ": a\r\n"
				+ rest;
		String due = response("b", 200, "id: 1\ndata: own\n\n");
		for (int cut = 1; cut < late.length() + due.length(); cut++) {
			UpstreamConnection connection = new UpstreamConnection(new UpstreamClientTests.PlainDialect(), this,
					new HeldBytes(1_000_000));
			EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(), connection);
			connection.send(outgoing("a", false));
			channel.writeInbound(bytes(response("a", 503, "")));
			connection.send(outgoing("b", true));
			channel.writeInbound(bytes((late + due).substring(0, cut)));
			channel.writeInbound(bytes((late + due).substring(cut)));
			channel.finishAndReleaseAll();
			assertThat(this.outcomes).containsExactly("503 ", "event own", "end");
			this.outcomes.clear();
		}
	}

	// A late response without a length takes in the response that follows. Guards against
	// passing on any part of either.
	@Test
	void lateResponseWithoutALengthFailsTheAttempt() {
		UpstreamConnection connection = new UpstreamConnection(new UpstreamClientTests.PlainDialect(), this,
				new HeldBytes(1_000_000));
		EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(), connection);
		connection.send(outgoing("a", false));
		channel.writeInbound(bytes(response("a", 503, "")));
		connection.send(outgoing("b", false));
		channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n" + UpstreamClientTests.REQUEST_ID + ": a\r\n\r\nlate"
				+ response("b", 200, "own")));
		channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		channel.finishAndReleaseAll();
		assertThat(this.outcomes).containsExactly("503 ", "failure BROKEN");
	}

	private UpstreamConnection.OutgoingRequest outgoing(String id, boolean stream) {
		return new UpstreamConnection.OutgoingRequest(id, HttpMethod.GET,
				() -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"), Long.MAX_VALUE, stream,
				this);
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	private void respondOnTheNextConnection(String response) {
		Thread.startVirtualThread(() -> {
			try (Server next = accept()) {
				next.write(response);
				next.readHead();
			}
			catch (IOException ex) {
				// The test has ended.
			}
		});
	}

	private static String head(String id, int status, int length) {
		return "HTTP/1.1 " + status + " Status\r\n" + UpstreamClientTests.REQUEST_ID + ": " + id
				+ "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	private static UnmatchedResponse expected(Kind kind, Optional<String> named, String request, int status,
			int requests) {
		return new UnmatchedResponse(kind, "u", named, Optional.of(request), OptionalInt.of(status), requests);
	}

	private static String response(String id, int status, String body) {
		return head(id, status, body.length()) + body;
	}

	private Server accept() throws IOException {
		Server accepted = new Server(this.server.accept());
		accepted.readHead();
		return accepted;
	}

	private String outcome() throws InterruptedException {
		return this.outcomes.poll(60, TimeUnit.SECONDS);
	}

	private UnmatchedResponse report() throws InterruptedException {
		return this.unmatched.poll(60, TimeUnit.SECONDS);
	}

	private void send(String id, HttpMethod method) throws Exception {
		Upstream upstream = new Upstream("u", "s", "127.0.0.1", this.server.getLocalPort(), "z", 1, false,
				OptionalLong.empty(), "v1");
		this.exchanges++;
		RelayEffect.SendRequest effect = new RelayEffect.SendRequest(this.exchanges, 1, upstream, new byte[0],
				Long.MAX_VALUE, OptionalLong.empty(), false, new CallerIdentity.Unchecked());
		this.loop
			.submit(() -> this.client.send(effect, id, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x"),
					new byte[0], this))
			.get(60, TimeUnit.SECONDS);
	}

	@Override
	public void onWritten() {
	}

	@Override
	public void onResponse(ResponseHead head, byte[] body) {
		this.outcomes.add(head.status() + " " + new String(body, StandardCharsets.ISO_8859_1));
	}

	@Override
	public void onStreamStart(ResponseHead head) {
	}

	@Override
	public void onEvent(long number, byte[] raw, byte[] data) {
		this.outcomes.add("event " + new String(data, StandardCharsets.ISO_8859_1));
	}

	@Override
	public void onStreamEnd() {
		this.outcomes.add("end");
	}

	@Override
	public void onIdle(UpstreamConnection connection) {
	}

	@Override
	public void onClosed(UpstreamConnection connection) {
	}

	@Override
	public void onUnmatched(Kind kind, Optional<String> named, OptionalInt status, CarriedRequests carried) {
	}

	@Override
	public void onFailure(FailureCause cause) {
		this.outcomes.add("failure " + cause);
	}

	/**
	 * The upstream's end of a connection.
	 */
	private static final class Server implements AutoCloseable {

		private final Socket socket;

		private final BufferedReader reader;

		Server(Socket socket) throws IOException {
			this.socket = socket;
			socket.setTcpNoDelay(true);
			socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
			this.reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
		}

		void readHead() throws IOException {
			String line = this.reader.readLine();
			while (line != null && !line.isEmpty()) {
				line = this.reader.readLine();
			}
		}

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		boolean isClosedByClient() throws IOException {
			return this.reader.read() < 0;
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/**
	 * Clock that stands still.
	 */
	private static final class FixedClock implements Timers {

		@Override
		public void schedule(Duration delay, Runnable task) {
			throw new UnsupportedOperationException();
		}

		@Override
		public long now() {
			return 10_000;
		}

	}

}
