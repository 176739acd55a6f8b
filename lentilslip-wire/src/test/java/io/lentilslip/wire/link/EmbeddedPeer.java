package io.lentilslip.wire.link;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.MessageLite;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.LinkCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;

/**
 * One side of a connection on an embedded channel, whose bytes and time are moved by the
 * test.
 */
final class EmbeddedPeer implements AutoCloseable {

	static final LinkSecret SECRET = LinkSecret.of("a secret that both sides know");

	static final int FRAME_BYTES = 4_096;

	static final int PENDING_BYTES = 8_192;

	static final Duration INTERVAL = Duration.ofMillis(500);

	static final LinkSettings SETTINGS = settings(SECRET);

	final RecordingListener listener;

	final LinkCounters counters = new LinkCounters();

	final EmbeddedChannel channel;

	EmbeddedPeer(LinkSide side, LinkSettings settings, RecordingListener listener) {
		this.listener = listener;
		Connection connection = new Connection(side, settings, () -> hello(side.name()), listener, this.counters);
		this.channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				LinkPipeline.install(channel, connection);
			}

		});
		this.channel.freezeTime();
	}

	EmbeddedPeer(LinkSide side) {
		this(side, SETTINGS, new RecordingListener());
	}

	static LinkSettings settings(LinkSecret secret) {
		return new LinkSettings(secret, FRAME_BYTES, PENDING_BYTES, 2, Duration.ofSeconds(3), INTERVAL, 3);
	}

	static LinkMessage.Hello hello(String vm) {
		return new LinkMessage.Hello(new ProcessId(new VmName(vm), new Incarnation(7)), new ZoneName("hala-tulcea"), 3);
	}

	static LinkMessage.Cancel cancel(int number) {
		return new LinkMessage.Cancel(new AttemptId(new Incarnation(7), number));
	}

	static LinkMessage.Delta delta(int number) {
		return new LinkMessage.Delta(new AttemptId(new Incarnation(7), 1), number, "text");
	}

	static byte[] frame(byte[] bytes) {
		return ByteBufUtil
			.getBytes(Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.length), Unpooled.wrappedBuffer(bytes)));
	}

	static byte[] frame(LinkMessage message) {
		return frame(LinkCodec.encode(message));
	}

	static byte[] frame(MessageLite message) {
		return frame(message.toByteArray());
	}

	/**
	 * Moves bytes both ways until none are left.
	 * @param first one side
	 * @param second the other side
	 */
	static void exchange(EmbeddedPeer first, EmbeddedPeer second) {
		boolean moved = true;
		while (moved) {
			boolean there = second.receive(first.written());
			boolean back = first.receive(second.written());
			moved = there || back;
		}
	}

	/**
	 * Ends the channel and releases the bytes that no one has read.
	 */
	@Override
	public void close() {
		this.channel.finishAndReleaseAll();
	}

	Link link() {
		return this.listener.opened.getNow(null);
	}

	LinkClosure closed() {
		return this.listener.closed.getNow(null);
	}

	LinkClosure refused() {
		return this.listener.refused.getNow(null);
	}

	byte[] written() {
		this.channel.runPendingTasks();
		ByteBuf all = Unpooled.buffer();
		ByteBuf part = this.channel.readOutbound();
		while (part != null) {
			all.writeBytes(part);
			part.release();
			part = this.channel.readOutbound();
		}
		return ByteBufUtil.getBytes(all);
	}

	boolean receive(byte[] bytes) {
		if (bytes.length == 0 || !this.channel.isOpen()) {
			return false;
		}
		this.channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		return true;
	}

	void advance(Duration time) {
		this.channel.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
