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
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an upstream that responds twice to a request, the second time late. The test
 * plays the upstream, so that it decides where the second response arrives.
 */
class RepeatedResponseTests implements AttemptListener {

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
			assertThat(report()).isEqualTo(expected(Kind.IDLE, Optional.empty(), "a", 500, 1));
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	@Test
	void responseReadTogetherWithTheFirstIsReported() throws Exception {
		send("a", HttpMethod.GET);
		try (Server connection = accept()) {
			connection.write(response("a", 200, "first") + response("a", 429, "late"));
			assertThat(outcome()).isEqualTo("200 first");
			assertThat(report()).isEqualTo(expected(Kind.AFTER_RESPONSE, Optional.empty(), "a", 429, 1));
			assertThat(connection.isClosedByClient()).isTrue();
		}
	}

	private static UnmatchedResponse expected(Kind kind, Optional<String> named, String request, int status,
			int requests) {
		return new UnmatchedResponse(kind, "u", named, Optional.of(request), OptionalInt.of(status), requests);
	}

	private static String response(String id, int status, String body) {
		return "HTTP/1.1 " + status + " Status\r\n" + UpstreamClientTests.REQUEST_ID + ": " + id
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
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
	}

	@Override
	public void onStreamEnd() {
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
