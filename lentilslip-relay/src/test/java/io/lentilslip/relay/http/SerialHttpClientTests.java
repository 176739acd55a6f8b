package io.lentilslip.relay.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.standin.http.MalformedResponse;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class SerialHttpClientTests {

	private static final int LARGE_BODY_BYTES = 16 * 1024 * 1024;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final BlockingQueue<Optional<String>> responses = new LinkedBlockingQueue<>();

	private ServerSocket server;

	private SerialHttpClient client;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
		this.client = new SerialHttpClient(this.loop, (InetSocketAddress) this.server.getLocalSocketAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
		this.server.close();
	}

	// Guards against taking the first part of the store's response for the whole. The
	// server waits until the client has read the part, so that the reset meets a write.
	@Test
	void responseWithoutALengthThatIsResetFails() throws Exception {
		call(LARGE_BODY_BYTES);
		try (Socket connection = this.server.accept()) {
			assertThat(connection.getInputStream().read()).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n\r\n{\"Off"));
			for (int i = 0; i < 3; i++) {
				this.loop.submit(() -> {
				}).get(60, TimeUnit.SECONDS);
			}
			connection.setSoLinger(true, 0);
		}
		assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isEmpty();
	}

	@Test
	void responseWithoutALengthEndsWithItsConnection() throws Exception {
		call(0);
		try (Socket connection = this.server.accept()) {
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n\r\nwhole"));
		}
		assertThat(this.responses.poll(60, TimeUnit.SECONDS)).contains("whole");
	}

	// Guards against taking an append for stored, or a list for empty, because the store
	// stopped within its response.
	@Test
	void cutResponseFails() {
		String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
		String interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
		for (String response : new String[] { head + "Content-Length: 12\r\n\r\n{\"Offset\":1}",
				interim + head + "Transfer-Encoding: chunked\r\n\r\nc\r\n{\"Offset\":1}\r\n0\r\n\r\n" }) {
			for (int length = 0; length < response.length(); length++) {
				assertThat(cut(response.substring(0, length), true)).as("%d bytes", length).isEmpty();
				assertThat(cut(response.substring(0, length), false)).as("%d bytes, reset", length).isEmpty();
			}
		}
	}

	// Guards against taking an append for stored because of a response that is none.
	@ParameterizedTest
	@EnumSource
	void malformedResponseFails(MalformedResponse response) {
		assertThat(respond(response.bytes(""), true)).isEmpty();
	}

	private Optional<String> cut(String response, boolean orderly) {
		return respond(bytes(response), orderly);
	}

	private Optional<String> respond(byte[] response, boolean orderly) {
		try {
			call(0);
			try (Socket connection = this.server.accept()) {
				byte[] request = new byte[1024];
				assertThat(connection.getInputStream().read(request)).isPositive();
				connection.getOutputStream().write(response);
				connection.setSoLinger(!orderly, 0);
			}
			return this.responses.poll(60, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new AssertionError(ex);
		}
	}

	// Guards against matching a response that nobody asked for to the next call, and
	// against reading bytes without end.
	@Test
	void connectionThatReceivesBytesWithoutACallIsClosed() throws Exception {
		call(0);
		try (Socket connection = this.server.accept()) {
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).contains("whole");
			connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(60));
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"));
			assertThat(endOf(connection)).isTrue();
		}
	}

	// Guards against a second response to one call that is taken for the response to the
	// next one: the next call may be queued while both are read.
	@Test
	void responseReadTogetherWithTheFirstIsNotMatchedToTheNextCall() throws Exception {
		call(0);
		call(0);
		try (Socket connection = this.server.accept()) {
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
			respondOnTheNextConnection(response + "other");
			connection.getOutputStream().write(bytes(response + "first" + response + "extra"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).contains("first");
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).contains("other");
		}
	}

	private void respondOnTheNextConnection(String response) {
		Thread.startVirtualThread(() -> {
			try (Socket connection = this.server.accept()) {
				byte[] request = new byte[1024];
				if (connection.getInputStream().read(request) > 0) {
					connection.getOutputStream().write(bytes(response));
					connection.getInputStream().read(request);
				}
			}
			catch (IOException ex) {
				// The test has ended.
			}
		});
	}

	// Guards against calls that wait without end because an earlier one's callback
	// failed.
	@Test
	void queuedCallIsSentAfterACallbackFails() throws Exception {
		this.loop.submit(() -> {
			this.client.call(request(0), Duration.ofSeconds(60), (response) -> {
				throw new IllegalStateException("callback of the first call");
			});
			this.client.call(request(0), Duration.ofSeconds(60), this::add);
		}).get(60, TimeUnit.SECONDS);
		try (Socket connection = this.server.accept()) {
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"));
			assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isNotNull();
		}
	}

	@Test
	void callFailsWhoseResponseHasNoEnd() throws Exception {
		call(0);
		try (Socket connection = this.server.accept()) {
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			byte[] block = bytes("HTTP/1.1 102 Processing\r\n\r\n".repeat(1024));
			long written = 0;
			try {
				while (written < 16L * LARGE_BODY_BYTES) {
					connection.getOutputStream().write(block);
					written += block.length;
				}
			}
			catch (IOException ex) {
				// Closed by the client.
			}
			assertThat(written).isLessThan(16L * LARGE_BODY_BYTES);
		}
		assertThat(this.responses.poll(60, TimeUnit.SECONDS)).isEmpty();
	}

	private static boolean endOf(Socket connection) {
		try {
			return connection.getInputStream().read() < 0;
		}
		catch (IOException ex) {
			return ex.getMessage().contains("reset");
		}
	}

	private void call(int bodyBytes) throws Exception {
		FullHttpRequest request = request(bodyBytes);
		this.loop.submit(() -> this.client.call(request, Duration.ofSeconds(60), this::add)).get(60, TimeUnit.SECONDS);
	}

	private void add(Optional<FullHttpResponse> response) {
		this.responses.add(response.map((whole) -> whole.content().toString(StandardCharsets.ISO_8859_1)));
	}

	private static FullHttpRequest request(int bodyBytes) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x",
				Unpooled.wrappedBuffer(new byte[bodyBytes]));
		HttpUtil.setContentLength(request, bodyBytes);
		return request;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
