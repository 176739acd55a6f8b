package io.lentilslip.wire.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.link.LinkMessage;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Try;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class LinkServerTests {

	private static final String LOOPBACK = "127.0.0.1";

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1, new DefaultThreadFactory("link", true));

	private final RecordingListener served = new RecordingListener();

	private final RecordingListener connected = new RecordingListener();

	private final LinkClient client = new LinkClient(this.eventLoops, EmbeddedPeer.SETTINGS,
			() -> EmbeddedPeer.hello("client"));

	private LinkServer server;

	@BeforeEach
	void listen() {
		this.server = listen(0).get();
	}

	@AfterEach
	void close() {
		this.client.close();
		this.server.close();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	// An entry sends calls and a sidecar answers, then stops. Each side gets everything
	// the other sent, in its order, although the close follows at once.
	@Test
	void deliversEverythingBeforeItCloses() {
		connect(this.connected);
		Link toServer = this.connected.opened.join();
		Link toClient = this.served.opened.join();
		List<LinkMessage> deltas = IntStream.range(0, 200).<LinkMessage>mapToObj(EmbeddedPeer::delta).toList();
		toServer.send(EmbeddedPeer.cancel(1));
		deltas.forEach(toClient::send);
		toClient.close();
		assertThat(this.connected.closed.join()).isEqualTo(LinkClosure.CLOSED_BY_PEER);
		assertThat(this.connected.received).isEqualTo(deltas);
		assertThat(this.served.closed.join()).isEqualTo(LinkClosure.CLOSED_HERE);
	}

	// Somebody sends a forged message to the port of a sidecar. The connection ends, and
	// a link that was open there goes on.
	@Test
	void refusesAForgedMessageWhileALinkGoesOn() throws IOException {
		connect(this.connected);
		Link toServer = this.connected.opened.join();
		try (Socket socket = new Socket(InetAddress.getByName(LOOPBACK), this.server.port())) {
			socket.getOutputStream().write(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
			assertThat(this.served.refused.join()).isEqualTo(LinkClosure.UNEXPECTED_FRAME);
		}
		assertThat(toServer.send(EmbeddedPeer.cancel(2))).isEqualTo(SendResult.ACCEPTED);
		toServer.close();
		assertThat(this.served.closed.join()).isEqualTo(LinkClosure.CLOSED_BY_PEER);
		assertThat(this.served.received).containsExactly(EmbeddedPeer.cancel(2));
	}

	// Somebody opens connections and keeps them. Those above the bound end at once, and
	// the count of all stays bounded.
	@Test
	void refusesConnectionsAboveTheBound() {
		RecordingListener second = new RecordingListener();
		RecordingListener third = new RecordingListener();
		connect(this.connected);
		this.connected.opened.join();
		connect(second);
		second.opened.join();
		connect(third);
		assertThat(this.served.refused.join()).isEqualTo(LinkClosure.TOO_MANY_LINKS);
		assertThat(third.refused.join()).isNotNull();
		assertThat(this.server.size()).isEqualTo(EmbeddedPeer.SETTINGS.maximumLinks());
	}

	@Test
	void tellsWhyItCannotListen() {
		assertThat(listen(this.server.port()).getCause()).isInstanceOf(IOException.class);
	}

	@Test
	void tellsAClientThatNothingListens() {
		int port = this.server.port();
		this.server.close();
		this.client.connect(new Endpoint(LOOPBACK, port), this.connected);
		assertThat(this.connected.refused.join()).isEqualTo(LinkClosure.UNREACHABLE);
	}

	@Test
	void closesItsLinks() {
		connect(this.connected);
		this.served.opened.join();
		this.server.close();
		assertThat(this.served.closed.join()).isEqualTo(LinkClosure.CLOSED_HERE);
		assertThat(this.server.size()).isZero();
	}

	private void connect(RecordingListener listener) {
		this.client.connect(new Endpoint(LOOPBACK, this.server.port()), listener);
	}

	private Try<LinkServer> listen(int port) {
		return LinkServer.listen(this.eventLoops, new Endpoint(LOOPBACK, port), EmbeddedPeer.SETTINGS,
				() -> EmbeddedPeer.hello("server"), this.served);
	}

}
