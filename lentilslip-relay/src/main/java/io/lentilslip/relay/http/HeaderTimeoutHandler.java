package io.lentilslip.relay.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Ends a connection whose first head takes too long to arrive. A caller that sends a head
 * byte by byte would else hold a connection for ever; a later head is bounded by the idle
 * timeout of the connection. Used by the event loop's thread.
 */
final class HeaderTimeoutHandler extends ChannelInboundHandlerAdapter {

	private static final int END_OF_HEAD = 0x0d0a0d0a;

	private final Supplier<Duration> timeout;

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	private int last;

	HeaderTimeoutHandler(Supplier<Duration> timeout) {
		this.timeout = timeout;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes && !ended(bytes)) {
			if (this.timer.isEmpty()) {
				this.timer = Optional.of(context.executor()
					.schedule(() -> context.close(), this.timeout.get().toMillis(), TimeUnit.MILLISECONDS));
			}
			context.fireChannelRead(message);
			return;
		}
		stop();
		context.pipeline().remove(this);
		context.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		stop();
		context.fireChannelInactive();
	}

	private boolean ended(ByteBuf bytes) {
		for (int at = bytes.readerIndex(); at < bytes.writerIndex(); at++) {
			this.last = (this.last << Byte.SIZE) | (bytes.getByte(at) & 0xff);
			if (this.last == END_OF_HEAD) {
				return true;
			}
		}
		return false;
	}

	private void stop() {
		this.timer.ifPresent((pending) -> pending.cancel(false));
	}

}
