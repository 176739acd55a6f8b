package io.lentilslip.relay.process;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import io.lentilslip.relay.net.ArrivalClock;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopTimersTests {

	private final ArrivalClock arrivalClock = new ArrivalClock(EventLoopTimersTests::millis);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1, (ThreadFactory) null, SelectorProvider.provider(),
			() -> this.arrivalClock);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), this.arrivalClock,
			EventLoopTimersTests::millis);

	private final BlockingQueue<String> order = new LinkedBlockingQueue<>();

	@AfterEach
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	@Test
	void timerRunsOnce() throws Exception {
		this.group.next().execute(() -> {
			this.timers.schedule(Duration.ofMillis(1), () -> this.order.add("timer"));
			this.timers.schedule(Duration.ofMillis(20), () -> this.order.add("end"));
		});
		assertThat(this.order.poll(20, TimeUnit.SECONDS)).isEqualTo("timer");
		assertThat(this.order.poll(20, TimeUnit.SECONDS)).isEqualTo("end");
	}

	// A relay that was busy must not treat a reply as missing that has arrived meanwhile.
	@Test
	void lateTimerRunsAfterReceivedDataIsRead() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			connect(listener, () -> this.order.add("reply"));
			Socket replying = listener.accept();
			connect(listener, () -> {
				long dueAt = millis() + 1;
				this.timers.schedule(Duration.ofMillis(1), () -> this.order.add("timer"));
				replying.getOutputStream().write(1);
				while (millis() < dueAt + 50) {
					Thread.onSpinWait();
				}
			});
			listener.accept().getOutputStream().write(1);
			assertThat(this.order.poll(20, TimeUnit.SECONDS)).isEqualTo("reply");
			assertThat(this.order.poll(20, TimeUnit.SECONDS)).isEqualTo("timer");
		}
	}

	private void connect(ServerSocket listener, DataHandler handler) {
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.handler(new SimpleChannelInboundHandler<ByteBuf>() {
				@Override
				protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws Exception {
					handler.dataRead();
				}
			})
			.connect(listener.getLocalSocketAddress())
			.syncUninterruptibly();
	}

	private static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Handles data of a connection.
	 */
	@FunctionalInterface
	private interface DataHandler {

		void dataRead() throws Exception;

	}

}
