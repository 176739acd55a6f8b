package io.lentilslip.verification.capacity;

import java.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClient;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.LinkSecret;
import io.lentilslip.wire.link.LinkServer;
import io.lentilslip.wire.link.LinkSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

/**
 * Measures quiet links over 127.0.0.1, both ends in this process. A process of the system
 * holds one of the two ends. Stateless and safe for use by several threads.
 */
final class LinkSlopes {

	private LinkSlopes() {
	}

	static void measure(Meter meter) {
		meter.heap("link-heap-of-both-ends-by-links", OpenLinks::new, 50, 200, 800);
		meter.processTimeOfASecond("link-cpu-of-a-second-of-both-ends-by-links", OpenLinks::new, 50, 200, 800);
	}

	/**
	 * Links that are open until they are closed together. Safe for use by several
	 * threads.
	 */
	private static final class OpenLinks implements AutoCloseable {

		private static final String LOOPBACK = "127.0.0.1";

		private static final Duration TIMEOUT = Duration.ofSeconds(10);

		private static final LinkSettings SETTINGS = LinkSettings
			.standard(LinkSecret.of("a secret of this measurement alone"));

		private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);

		private final LinkServer server;

		private final LinkClient client;

		OpenLinks(int count) {
			CountDownLatch opened = new CountDownLatch(2 * count);
			LinkListener listener = new Opening(opened);
			this.server = LinkServer
				.listen(this.eventLoops, new Endpoint(LOOPBACK, 0), SETTINGS, () -> hello(0), listener)
				.get();
			this.client = new LinkClient(this.eventLoops, SETTINGS, () -> hello(1));
			for (int number = 0; number < count; number++) {
				this.client.connect(new Endpoint(LOOPBACK, this.server.port()), listener);
			}
			await(opened);
		}

		private static LinkMessage.Hello hello(int number) {
			return new LinkMessage.Hello(SampleSite.sidecar(number), SampleSite.ZONE, 1);
		}

		private static void await(CountDownLatch opened) {
			try {
				if (!opened.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
					throw new IllegalStateException(opened.getCount() + " ends of links did not open");
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("interrupted", ex);
			}
		}

		@Override
		public void close() {
			this.client.close();
			this.server.close();
			this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		}

	}

	/**
	 * Counts the ends of links that opened. Safe for use by several threads.
	 *
	 * @param opened counted down at each
	 */
	private record Opening(CountDownLatch opened) implements LinkListener {

		@Override
		public void opened(Link link, LinkMessage.Hello peer) {
			this.opened.countDown();
		}

		@Override
		public void received(Link link, LinkMessage message) {
		}

		@Override
		public void unread(Link link, CodecProblem.UnknownKind problem) {
		}

		@Override
		public void closed(Link link, LinkClosure reason) {
		}

		@Override
		public void refused(SocketAddress address, LinkClosure reason) {
			throw new IllegalStateException("a link was refused: " + reason);
		}

	}

}
