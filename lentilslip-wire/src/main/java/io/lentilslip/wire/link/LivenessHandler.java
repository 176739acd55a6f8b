package io.lentilslip.wire.link;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * A handler that sends heartbeats on an idle link and ends a silent one.
 * <p>
 * A peer that vanished without closing its connection, or whose packets are lost in one
 * direction, shows itself by silence alone: without this watch, calls would be sent to it
 * until their deadlines. Both sides watch, so that with a loss in one direction the side
 * that hears nothing closes, which the other side then sees or finds by the same watch.
 * Silence is counted in rounds with a fixed pause between them, not by a clock: after
 * this process was paused itself, one round runs and then what arrived meanwhile is read,
 * so a peer that is well is not ended for it. Confined to the event loop of its channel.
 */
final class LivenessHandler extends ChannelDuplexHandler {

	private final Connection connection;

	private final Runnable heartbeat;

	private Future<?> rounds;

	private int silentRounds;

	private boolean written;

	/**
	 * Creates a handler for one connection.
	 * @param connection what the handlers share
	 * @param heartbeat sends a heartbeat
	 */
	LivenessHandler(Connection connection, Runnable heartbeat) {
		this.connection = connection;
		this.heartbeat = heartbeat;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		long nanos = this.connection.settings().heartbeatInterval().toNanos();
		this.rounds = context.executor()
			.scheduleWithFixedDelay(() -> round(context), nanos, nanos, TimeUnit.NANOSECONDS);
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.rounds.cancel(false);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.silentRounds = 0;
		context.fireChannelRead(message);
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		this.written = true;
		context.write(message, promise);
	}

	private void round(ChannelHandlerContext context) {
		if (this.silentRounds == this.connection.settings().silentIntervals()) {
			this.connection.end(context.channel(), LinkClosure.SILENT);
			return;
		}
		this.silentRounds++;
		if (!this.written) {
			this.heartbeat.run();
		}
		this.written = false;
	}

}
