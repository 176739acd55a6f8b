package io.lentilslip.relay.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.relay.CallerIdentity;
import io.lentilslip.core.relay.Refusal;
import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.RequestHead;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the client over a socket. A connection never opens before the event loop's
 * current task has ended, so a task that sends a request and then advances the clock
 * makes the connection open late.
 */
class UpstreamClientTests {

	private static final String TIMEOUT = "timeout-ms";

	static final String REQUEST_ID = "request-id";

	static final String OTHER_REQUEST = "other-request";

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final FakeTimers timers = new FakeTimers();

	private final UpstreamClient client = new UpstreamClient(this.loop, new PlainDialect(), this.timers,
			new HeldBytes(1_000_000), (unmatched) -> {
			});

	private final BlockingQueue<FailureCause> failures = new LinkedBlockingQueue<>();

	private final BlockingQueue<ResponseHead> responses = new LinkedBlockingQueue<>();

	private final BlockingQueue<Long> events = new LinkedBlockingQueue<>();

	private final BlockingQueue<Boolean> streamEnds = new LinkedBlockingQueue<>();

	private ServerSocket server;

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

	// Guards against granting an upstream the time that a request has waited for its
	// connection.
	@Test
	void waitForAConnectionShortensTheTimeout() throws Exception {
		onLoop(() -> {
			send(1, 1075);
			this.timers.now += 649;
		});
		assertThat(receivedTimeout(this.server.accept())).isEqualTo(426);
	}

	// Guards against sending a request whose caller has stopped waiting; the connection
	// serves the next one.
	@Test
	void requestThatExpiresBeforeItsConnectionOpensIsNotSent() throws Exception {
		onLoop(() -> {
			send(1, 1075);
			this.timers.now += 1075;
		});
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.EXPIRED);
		onLoop(() -> send(2, 500));
		assertThat(receivedTimeout(this.server.accept())).isEqualTo(500);
	}

	// Guards against sending an expired request on an idle connection, and against
	// treating that connection as just used.
	@Test
	void expiredRequestDoesNotUseAConnection() throws Exception {
		onLoop(() -> send(1, 0));
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.EXPIRED);
		onLoop(() -> send(2, 500));
		assertThat(receivedTimeout(this.server.accept())).isEqualTo(500);
	}

	// Guards against not counting an upstream that ends while it sends a response.
	@Test
	void responseThatEndsInItsHeadIsABrokenConnection() throws Exception {
		onLoop(() -> send(1, 1075));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-".getBytes(StandardCharsets.ISO_8859_1));
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.BROKEN);
	}

	// Guards against not counting an upstream that ends before it has read a request.
	@Test
	void upstreamThatEndsDuringAnUploadIsABrokenConnection() throws Exception {
		onLoop(() -> send(1, 1075, new byte[16 * 1024 * 1024]));
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.BROKEN);
	}

	// Guards against passing on a response head that is cut off, or that nothing follows,
	// while the request is still being written.
	@Test
	void headThatEndsDuringAnUploadIsABrokenConnection() throws Exception {
		for (String head : List.of("HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
				"HTTP/1.1 200 OK\r\n\r\n")) {
			for (boolean stream : new boolean[] { true, false }) {
				onLoop(() -> send(1, 60_000, new byte[16 * 1024 * 1024], stream));
				try (Socket connection = this.server.accept()) {
					assertThat(connection.getInputStream().read()).isPositive();
					connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
					connection.shutdownOutput();
					assertThat(this.failures.poll(60, TimeUnit.SECONDS)).as(head).isEqualTo(FailureCause.BROKEN);
				}
			}
		}
		assertThat(this.responses).isEmpty();
		assertThat(this.streamEnds).isEmpty();
	}

	// Guards against ending a stream as complete that was reset between two events.
	@Test
	void streamWithoutALengthThatIsResetIsABrokenConnection() throws Exception {
		onLoop(() -> send(1, 60_000, new byte[16 * 1024 * 1024], true));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			connection.getOutputStream()
				.write("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n".getBytes(StandardCharsets.ISO_8859_1));
			assertThat(this.events.poll(60, TimeUnit.SECONDS)).isEqualTo(1);
			connection.setSoLinger(true, 0);
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.BROKEN);
		assertThat(this.streamEnds).isEmpty();
	}

	// Guards against not counting an upstream that ends in the middle of a chunk or an
	// event, which is no malformed response.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void streamThatIsCutOffInAChunkIsABrokenConnection(boolean reset) throws Exception {
		onLoop(() -> send(1, 60_000, new byte[0], true));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			connection.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nid: 1\ndata: a\n\nid: 2\nda"
					.getBytes(StandardCharsets.ISO_8859_1));
			assertThat(this.events.poll(60, TimeUnit.SECONDS)).isEqualTo(1);
			connection.setSoLinger(reset, 0);
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.BROKEN);
	}

	// Guards against taking a connection that was reset for the end of its upstream.
	@Test
	void probeTellsAnUpstreamThatAcceptsFromOneThatHasEnded() throws Exception {
		BlockingQueue<Boolean> refused = new LinkedBlockingQueue<>();
		Upstream upstream = upstream();
		onLoop(() -> this.client.probe(upstream, refused::add));
		assertThat(refused.poll(60, TimeUnit.SECONDS)).isFalse();
		this.server.close();
		onLoop(() -> this.client.probe(upstream, refused::add));
		assertThat(refused.poll(60, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void streamWithoutALengthEndsWithItsConnection() throws Exception {
		onLoop(() -> send(1, 60_000, new byte[0], true));
		try (Socket connection = this.server.accept()) {
			readHead(connection);
			connection.getOutputStream()
				.write("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n".getBytes(StandardCharsets.ISO_8859_1));
		}
		assertThat(this.streamEnds.poll(60, TimeUnit.SECONDS)).isTrue();
		assertThat(this.failures).isEmpty();
	}

	// Guards against sending a request on a connection that its upstream is about to
	// close.
	@Test
	void connectionWithoutAResponseExpiresLikeOthersOfItsUpstream() throws Exception {
		onLoop(() -> send(1, 1075));
		try (Socket first = this.server.accept()) {
			readHead(first);
			first.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
			onLoop(() -> {
				this.timers.now += 400;
				send(2, 100);
				this.timers.now += 100;
			});
			assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.EXPIRED);
			try (Socket second = this.server.accept()) {
				onLoop(() -> {
					this.timers.now += 400;
					send(3, 500);
				});
				assertThat(receivedTimeout(this.server.accept())).isEqualTo(500);
			}
		}
	}

	// Guards against losing a whole response because of the time for which its upstream
	// keeps the connection.
	@Test
	void responseIsReceivedWhateverItsKeepAliveTimeout() throws Exception {
		for (long timeout : new long[] { Long.MAX_VALUE, Long.MAX_VALUE / 1000, 0, -1, Long.MIN_VALUE }) {
			onLoop(() -> send(1, 60_000));
			try (Socket connection = this.server.accept()) {
				readHead(connection);
				connection.getOutputStream()
					.write(("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=" + timeout + "\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(this.responses.poll(60, TimeUnit.SECONDS)).as("timeout %d", timeout).isNotNull();
				onLoop(() -> this.client.removeUpstream("u"));
			}
		}
	}

	private static void readHead(Socket connection) throws IOException {
		connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
		String line = reader.readLine();
		while (line != null && !line.isEmpty()) {
			line = reader.readLine();
		}
	}

	private void onLoop(Runnable task) throws Exception {
		this.loop.submit(task).get(60, TimeUnit.SECONDS);
	}

	private void send(long exchange, long timeoutMillis) {
		send(exchange, timeoutMillis, new byte[0]);
	}

	private void send(long exchange, long timeoutMillis, byte[] body) {
		send(exchange, timeoutMillis, body, false);
	}

	private Upstream upstream() {
		return new Upstream("u", "s", "127.0.0.1", this.server.getLocalPort(), "z", 1, false, OptionalLong.empty(),
				"v1");
	}

	private void send(long exchange, long timeoutMillis, byte[] body, boolean stream) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
		this.client.send(
				new RelayEffect.SendRequest(exchange, 1, upstream(), new byte[0], this.timers.now + timeoutMillis,
						OptionalLong.empty(), stream, new CallerIdentity.Unchecked()),
				"r", request, body, new FailureListener());
	}

	private static long receivedTimeout(Socket connection) throws IOException {
		try (connection) {
			connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
			List<String> lines = new ArrayList<>();
			for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
				lines.add(line);
			}
			return lines.stream()
				.filter((line) -> line.startsWith(TIMEOUT))
				.mapToLong((line) -> Long.parseLong(line.substring(TIMEOUT.length() + 1).strip()))
				.findFirst()
				.orElseThrow();
		}
	}

	/**
	 * Clock that the test advances on the event loop.
	 */
	private static final class FakeTimers implements Timers {

		private volatile long now = 10_000;

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
	 * Listener that records failures and plain responses.
	 */
	private final class FailureListener implements AttemptListener {

		@Override
		public void onWritten() {
		}

		@Override
		public void onResponse(ResponseHead head, byte[] body) {
			UpstreamClientTests.this.responses.add(head);
		}

		@Override
		public void onStreamStart(ResponseHead head) {
		}

		@Override
		public void onEvent(long number, byte[] raw, byte[] data) {
			UpstreamClientTests.this.events.add(number);
		}

		@Override
		public void onStreamEnd() {
			UpstreamClientTests.this.streamEnds.add(true);
		}

		@Override
		public void onFailure(FailureCause cause) {
			UpstreamClientTests.this.failures.add(cause);
		}

	}

	/**
	 * Dialect that writes the timeout only.
	 */
	static final class PlainDialect implements Dialect {

		@Override
		public RequestHead decodeRequest(HttpRequest request) {
			throw new UnsupportedOperationException();
		}

		@Override
		public List<String> callerIds(HttpRequest request) {
			return List.of();
		}

		@Override
		public void writeUpstreamHeaders(HttpRequest request, RelayEffect.SendRequest send, HttpHeaders headers) {
		}

		@Override
		public void writeTimeout(Duration timeout, HttpHeaders headers) {
			headers.set(TIMEOUT, timeout.toMillis());
		}

		@Override
		public Optional<String> requestId(HttpResponse response) {
			return Optional.ofNullable(response.headers().get(REQUEST_ID));
		}

		// Most tests of this package have no second request.
		@Override
		public boolean isResponseTo(HttpResponse response, String id) {
			return requestId(response).map(id::equals).orElse(!response.headers().contains(OTHER_REQUEST));
		}

		@Override
		public ResponseHead decodeResponse(HttpResponse response) {
			return new ResponseHead(response.status().code(), List.of(), false, true, Optional.empty());
		}

		@Override
		public Optional<Duration> keepAliveTimeout(HttpResponse response) {
			return Optional.ofNullable(response.headers().get("Keep-Alive"))
				.map((value) -> Duration.ofSeconds(Long.parseLong(value.substring("timeout=".length()))));
		}

		@Override
		public FullHttpResponse encodeRefusal(Refusal refusal, Optional<Duration> retryAfter) {
			throw new UnsupportedOperationException();
		}

	}

}
