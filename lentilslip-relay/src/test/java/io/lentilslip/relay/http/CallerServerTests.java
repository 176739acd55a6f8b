package io.lentilslip.relay.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.measurement.Measurement.CallerShed.Cause;
import io.lentilslip.core.relay.ResponseHead;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class CallerServerTests {

	private static final int MAX_CONNECTIONS = 2;

	/**
	 * More than the buffers of a connection hold.
	 */
	private static final int LARGE_EVENT_BYTES = 64 * 1024 * 1024;

	private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final BlockingQueue<CallerConnection> requests = new LinkedBlockingQueue<>();

	private final BlockingQueue<Cause> shed = new LinkedBlockingQueue<>();

	private final CallerServer server = new CallerServer(new RecordingListener(), new IdleTimers(),
			new HeldBytes(1_000_000_000), MAX_CONNECTIONS, this.shed::add);

	private final InetSocketAddress address = (InetSocketAddress) this.server
		.bind(this.group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
		.syncUninterruptibly()
		.channel()
		.localAddress();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	// Guards against connections that nobody uses and that keep out others.
	@Test
	void connectionThatHasBeenIdleLongestIsClosedForANewOne() throws Exception {
		try (Socket oldest = open(); Socket second = open()) {
			send(second);
			this.requests.take();
			try (Socket third = open(); Socket fourth = open()) {
				assertThat(oldest.getInputStream().read()).isEqualTo(-1);
				assertThat(third.getInputStream().read()).isEqualTo(-1);
				send(fourth);
				assertThat(this.requests.take()).isNotNull();
			}
			assertThat(List.copyOf(this.shed)).containsExactly(Cause.CONNECTIONS, Cause.CONNECTIONS);
		}
	}

	// Guards against closing a connection whose request was passed on.
	@Test
	void newConnectionIsClosedIfAllOthersHaveRequests() throws Exception {
		try (Socket first = open(); Socket second = open()) {
			send(first);
			send(second);
			this.requests.take();
			this.requests.take();
			try (Socket third = open()) {
				assertThat(third.getInputStream().read()).isEqualTo(-1);
			}
			assertThat(List.copyOf(this.shed)).containsExactly(Cause.CONNECTIONS);
		}
	}

	// Guards against callers that take all connections, as they don't read their
	// responses.
	@Test
	void connectionOfACallerThatDoesNotReadIsClosedForANewOne() throws Exception {
		try (Socket reading = open(); Socket blocked = open()) {
			send(reading);
			this.requests.take();
			send(blocked);
			CallerConnection unread = this.requests.take();
			this.group.submit(() -> {
				unread.startStream(new ResponseHead(200, List.of(), false, true, Optional.empty()));
				unread.writeContent(new byte[LARGE_EVENT_BYTES]);
			}).syncUninterruptibly();
			try (Socket next = open()) {
				send(next);
				assertThat(this.requests.take()).isNotNull();
			}
			assertThat(List.copyOf(this.shed)).containsExactly(Cause.CONNECTIONS);
		}
	}

	private Socket open() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	private static void send(Socket socket) throws IOException {
		socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Listener that records the connections of requests.
	 */
	private final class RecordingListener implements CallerListener {

		@Override
		public long onRequest(CallerConnection connection, HttpRequest request, byte[] body, long headReadAt) {
			CallerServerTests.this.requests.add(connection);
			return 1;
		}

		@Override
		public void onWritabilityChanged(long exchange, boolean writable) {
		}

		@Override
		public void onDisconnect(long exchange) {
		}

	}

	/**
	 * Clock that stands still.
	 */
	private static final class IdleTimers implements Timers {

		@Override
		public long earliestArrival() {
			return 0;
		}

		@Override
		public void schedule(Duration delay, Runnable task) {
			throw new UnsupportedOperationException();
		}

		@Override
		public long now() {
			return 0;
		}

	}

}
