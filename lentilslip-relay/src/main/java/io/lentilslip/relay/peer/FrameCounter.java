package io.lentilslip.relay.peer;

import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import io.lentilslip.relay.net.TrafficCounter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the frames and payload bytes of a link in both directions. Used by the event
 * loop's thread.
 */
final class FrameCounter extends ChannelDuplexHandler {

	private final TrafficCounter traffic;

	FrameCounter(TrafficCounter traffic) {
		this.traffic = traffic;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object frame) {
		this.traffic.add(Kind.LINKS_IN, ((ByteBuf) frame).readableBytes());
		context.fireChannelRead(frame);
	}

	@Override
	public void write(ChannelHandlerContext context, Object frame, ChannelPromise promise) {
		this.traffic.add(Kind.LINKS_OUT, ((ByteBuf) frame).readableBytes());
		context.write(frame, promise);
	}

}
