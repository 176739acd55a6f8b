package io.lentilslip.standin.engine;

import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A caller's connection. It carries one exchange at a time; a second request that does
 * not wait for the first one's answer closes it. Its end is told to the exchange that is
 * under way, so that the engine stops working for a caller who is gone.
 */
final class EngineConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private final EngineRoutes routes;

	private final AtomicReference<EngineExchange> current = new AtomicReference<>();

	/**
	 * Creates a connection.
	 * @param routes what handles its requests
	 */
	EngineConnection(EngineRoutes routes) {
		this.routes = routes;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		EngineExchange exchange = new EngineExchange(this, context.channel(), HttpUtil.isKeepAlive(request));
		if (!this.current.compareAndSet(null, exchange)) {
			context.close();
			return;
		}
		this.routes.handle(request, exchange);
	}

	/**
	 * Notes that an exchange has its whole response.
	 * @param exchange the exchange
	 */
	void end(EngineExchange exchange) {
		this.current.compareAndSet(exchange, null);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		EngineExchange exchange = this.current.getAndSet(null);
		if (exchange != null) {
			exchange.disconnect();
		}
		context.fireChannelInactive();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
