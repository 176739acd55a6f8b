package io.lentilslip.relay.upstream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.relay.CallerIdentity;
import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent.FailureCause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.relay.net.HeldBytes;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of upstreams that send bytes without end until their caller closes the
 * connection.
 */
class EndlessResponseTests implements AttemptListener {

	/**
	 * More than any response may have.
	 */
	private static final long FLOOD_BYTES = 64L * 1024 * 1024;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final HeldBytes heldBytes = new HeldBytes(24 * 1024 * 1024);

	private final UpstreamClient client = new UpstreamClient(this.loop, new UpstreamClientTests.PlainDialect(),
			new FixedClock(), this.heldBytes, (unmatched) -> {
			});

	private final BlockingQueue<FailureCause> failures = new LinkedBlockingQueue<>();

	private final BlockingQueue<ResponseHead> responses = new LinkedBlockingQueue<>();

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

	// Guards against an attempt that reads until its deadline while other requests wait.
	@ParameterizedTest
	@EnumSource
	void attemptFailsAndItsConnectionIsClosed(Flood flood) throws Exception {
		send(1, flood.stream);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			assertThat(writeUntilClosed(connection, flood.start, flood.repeated)).isLessThan(FLOOD_BYTES);
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.UNREADABLE);
	}

	// Guards against reading from a connection that no request uses, also if the decoder
	// makes nothing of the bytes.
	@Test
	void idleConnectionIsClosedAtTheFirstByte() throws Exception {
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
			assertThat(writeUntilClosed(connection, "", " ")).isLessThan(FLOOD_BYTES);
		}
	}

	// Guards against prepending the rest of one response to the next one.
	@Test
	void connectionWithBytesAfterAResponseIsNotReused() throws Exception {
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 50"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
			send(2, false);
			try (Socket other = this.server.accept()) {
				assertThat(other.getInputStream().read()).isPositive();
			}
		}
	}

	// Guards against taking a body that no response may have for the next response.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 204 None\r\n\r\nbody", "HTTP/1.1 304 None\r\nContent-Length: 4\r\n\r\nbody" })
	void connectionWithABodyAfterAResponseWithoutContentIsNotReused(String response) throws Exception {
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes(response));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
			send(2, false);
			try (Socket other = this.server.accept()) {
				assertThat(other.getInputStream().read()).isPositive();
			}
		}
	}

	// Guards against reading megabytes of a response whose head says that it is too long.
	@Test
	void responseWithATooLargeLengthFailsAtItsHead() throws Exception {
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"));
			assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.UNREADABLE);
		}
	}

	// Guards against several bodies without end that together exceed the heap.
	@Test
	void largeBodyIsNotReadWhileTooMuchIsHeld() throws Exception {
		this.loop.submit(() -> this.heldBytes.hold(this.heldBytes.limit())).get(60, TimeUnit.SECONDS);
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			assertThat(writeUntilClosed(connection, Flood.BODY.start, Flood.BODY.repeated)).isLessThan(FLOOD_BYTES);
		}
		assertThat(this.failures.poll(60, TimeUnit.SECONDS)).isEqualTo(FailureCause.UNREADABLE);
		assertThat(this.loop.submit(this.heldBytes::held).get(60, TimeUnit.SECONDS)).isEqualTo(this.heldBytes.limit());
	}

	@Test
	void smallBodyIsReadWhileTooMuchIsHeld() throws Exception {
		this.loop.submit(() -> this.heldBytes.hold(this.heldBytes.limit())).get(60, TimeUnit.SECONDS);
		send(1, false);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
		}
		assertThat(this.loop.submit(this.heldBytes::held).get(60, TimeUnit.SECONDS)).isEqualTo(this.heldBytes.limit());
	}

	private static long writeUntilClosed(Socket connection, String start, String repeated) throws IOException {
		connection.setSendBufferSize(64 * 1024);
		byte[] block = bytes(repeated.repeat(Math.max(1, 16 * 1024 / repeated.length())));
		connection.getOutputStream().write(bytes(start));
		long written = 0;
		try {
			while (written < FLOOD_BYTES) {
				connection.getOutputStream().write(block);
				written += block.length;
			}
		}
		catch (IOException ex) {
			// Closed by the client.
		}
		return written;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	private void send(long exchange, boolean stream) throws Exception {
		Upstream upstream = new Upstream("u", "s", "127.0.0.1", this.server.getLocalPort(), "z", 1, false,
				OptionalLong.empty(), "v1");
		this.loop
			.submit(() -> this.client.send(
					new RelayEffect.SendRequest(exchange, 1, upstream, new byte[0], Long.MAX_VALUE,
							OptionalLong.empty(), stream, new CallerIdentity.Unchecked()),
					"r", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"), new byte[0], this))
			.get(60, TimeUnit.SECONDS);
	}

	@Override
	public void onWritten() {
	}

	@Override
	public void onResponse(ResponseHead head, byte[] body) {
		this.responses.add(head);
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
		this.failures.add(cause);
	}

	/**
	 * A form of bytes without end.
	 */
	enum Flood {

		/**
		 * Whitespace before the status line.
		 */
		CONTROL_CHARACTERS("", " \r\n", false),

		/**
		 * A status line that does not end.
		 */
		STATUS_LINE("HTTP/1.1 200 ", "x", false),

		/**
		 * One header line that does not end.
		 */
		HEADER_LINE("HTTP/1.1 200 OK\r\nA: ", "x", false),

		/**
		 * Header lines.
		 */
		HEADERS("HTTP/1.1 200 OK\r\n", "A: b\r\n", false),

		/**
		 * Informational responses.
		 */
		INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n", false),

		/**
		 * The body of a response to another request.
		 */
		SKIPPED_BODY("HTTP/1.1 200 OK\r\nOther-Request: 1\r\n\r\n", "x", false),

		/**
		 * A body without a length.
		 */
		BODY("HTTP/1.1 200 OK\r\n\r\n", "x", false),

		/**
		 * Chunks of a body.
		 */
		CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false),

		/**
		 * The extension of a chunk.
		 */
		CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", false),

		/**
		 * Trailers after the last chunk.
		 */
		TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false),

		/**
		 * An event that does not end.
		 */
		EVENT("HTTP/1.1 200 OK\r\n\r\ndata: ", "x", true),

		/**
		 * Comments between events.
		 */
		COMMENTS("HTTP/1.1 200 OK\r\n\r\n", ": x\n\n", true),

		/**
		 * Blank lines between events.
		 */
		BLANK_LINES("HTTP/1.1 200 OK\r\n\r\n", "\n", true);

		private final String start;

		private final String repeated;

		private final boolean stream;

		Flood(String start, String repeated, boolean stream) {
			this.start = start;
			this.repeated = repeated;
			this.stream = stream;
		}

	}

}
