package io.lentilslip.relay.upstream;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import io.lentilslip.standin.http.MalformedResponse;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of responses of upstreams that violate the grammar or the framing of HTTP.
 */
class MalformedResponseTests implements AttemptListener {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final UpstreamClient client = new UpstreamClient(this.loop, new UpstreamClientTests.PlainDialect(),
			new FixedClock(), new HeldBytes(1_000_000), (unmatched) -> {
			});

	private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

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

	// Guards against passing on a response with what it says, or with a body that another
	// reader of it would end elsewhere.
	@ParameterizedTest
	@EnumSource
	void malformedResponseIsUnreadable(MalformedResponse response) throws Exception {
		assertThat(outcomeOf(response, Integer.MAX_VALUE, false)).isEqualTo("failure UNREADABLE");
	}

	// Guards against a check that sees a part of a line only.
	@ParameterizedTest
	@EnumSource
	void malformedResponseIsUnreadableHoweverItIsSplit(MalformedResponse response) throws Exception {
		assertThat(outcomeOf(response, 1, false)).isEqualTo("failure UNREADABLE");
	}

	@ParameterizedTest
	@EnumSource
	void malformedStreamIsUnreadable(MalformedResponse response) throws Exception {
		assertThat(outcomeOf(response, Integer.MAX_VALUE, true)).startsWith("failure ");
	}

	private String outcomeOf(MalformedResponse response, int bytesPerWrite, boolean stream) throws Exception {
		send(stream);
		try (Socket connection = this.server.accept()) {
			connection.setTcpNoDelay(true);
			byte[] request = new byte[1024];
			assertThat(connection.getInputStream().read(request)).isPositive();
			write(connection.getOutputStream(), response.bytes(""), bytesPerWrite);
			connection.shutdownOutput();
			return this.outcomes.poll(60, TimeUnit.SECONDS);
		}
	}

	private static void write(OutputStream output, byte[] bytes, int bytesPerWrite) {
		try {
			for (int start = 0; start < bytes.length; start += Math.min(bytesPerWrite, bytes.length)) {
				output.write(bytes, start, Math.min(bytesPerWrite, bytes.length - start));
			}
		}
		catch (IOException ex) {
			// The client has closed the connection before the end of the response.
		}
	}

	private void send(boolean stream) throws Exception {
		Upstream upstream = new Upstream("u", "s", "127.0.0.1", this.server.getLocalPort(), "z", 1, false,
				OptionalLong.empty(), "v1");
		this.loop
			.submit(() -> this.client.send(
					new RelayEffect.SendRequest(1, 1, upstream, new byte[0], Long.MAX_VALUE, OptionalLong.empty(),
							stream, new CallerIdentity.Unchecked()),
					"r", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"), new byte[0], this))
			.get(60, TimeUnit.SECONDS);
	}

	@Override
	public void onWritten() {
	}

	@Override
	public void onResponse(ResponseHead head, byte[] body) {
		this.outcomes.add("response " + head.status() + " with " + body.length + " bytes");
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

}
