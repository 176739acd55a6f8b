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
 * Closes a connection whose first request head is not received in time, so that a caller
 * that sends it slowly can't hold a connection. Later heads are bounded by the
 * connection's idle timeout. Used by the event loop's thread.
 */
final class HeaderTimeoutHandler extends ChannelInboundHandlerAdapter {

	private static final int END_OF_HEAD = 0x0d0a0d0a;

	private final Supplier<Duration> timeout;

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	private int lastBytes;

	HeaderTimeoutHandler(Supplier<Duration> timeout) {
		this.timeout = timeout;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes && !containsEndOfHead(bytes)) {
			if (this.timer.isEmpty()) {
				this.timer = Optional.of(context.executor()
					.schedule(() -> context.close(), this.timeout.get().toMillis(), TimeUnit.MILLISECONDS));
			}
			context.fireChannelRead(message);
			return;
		}
		cancelTimer();
		context.pipeline().remove(this);
		context.fireChannelRead(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancelTimer();
		context.fireChannelInactive();
	}

	private boolean containsEndOfHead(ByteBuf bytes) {
		for (int index = bytes.readerIndex(); index < bytes.writerIndex(); index++) {
			this.lastBytes = (this.lastBytes << Byte.SIZE) | (bytes.getByte(index) & 0xff);
			if (this.lastBytes == END_OF_HEAD) {
				return true;
			}
		}
		return false;
	}

	private void cancelTimer() {
		this.timer.ifPresent((pending) -> pending.cancel(false));
	}

}
