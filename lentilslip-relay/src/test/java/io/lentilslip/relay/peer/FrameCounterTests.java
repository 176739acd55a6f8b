package io.lentilslip.relay.peer;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic;
import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FrameCounterTests {

	private static final PeerMessage GREETING = new PeerMessage.Greeting("10.0.0.1:1");

	private static final int SIZE = RelayCodec.encode(GREETING).length;

	private final TrafficCounter traffic = new TrafficCounter();

	private final List<PeerMessage> received = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	FrameCounterTests() {
		new RecordingChannel().initialize(this.channel, this.traffic);
	}

	@Test
	void sentMessagesAreCountedByFrame() {
		PeerChannel.send(this.channel, GREETING);
		PeerChannel.send(this.channel, GREETING);
		assertThat(published()).contains(new RelayTraffic(Kind.LINKS_OUT, 2L * SIZE, 2),
				new RelayTraffic(Kind.LINKS_IN, 0, 0));
		ByteBuf length = this.channel.readOutbound();
		assertThat(length.readInt()).isEqualTo(SIZE);
	}

	// Two messages arrive in three reads. Frames must be counted, not reads.
	@Test
	void receivedMessagesAreCountedByFrame() {
		ByteBuf arriving = Unpooled.buffer();
		for (int message = 0; message < 2; message++) {
			arriving.writeInt(SIZE).writeBytes(RelayCodec.encode(GREETING));
		}
		this.channel.writeInbound(arriving.readRetainedSlice(3));
		this.channel.writeInbound(arriving.readRetainedSlice(SIZE));
		this.channel.writeInbound(arriving);
		assertThat(this.received).containsExactly(GREETING, GREETING);
		assertThat(published()).contains(new RelayTraffic(Kind.LINKS_IN, 2L * SIZE, 2),
				new RelayTraffic(Kind.LINKS_OUT, 0, 0));
	}

	private List<Measurement> published() {
		List<Measurement> published = new ArrayList<>();
		this.traffic.publish(published::add);
		return published;
	}

	/**
	 * Records received messages. Used by one thread.
	 */
	private final class RecordingChannel extends PeerChannel {

		@Override
		void messageReceived(ChannelHandlerContext context, PeerMessage message) {
			FrameCounterTests.this.received.add(message);
		}

	}

}
