package io.lentilslip.relay.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.relay.net.Sockets;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * The port at which callers reach a relay. Used by the event loop's thread.
 */
public final class CallerServer {

	private final CallerListener listener;

	private final Set<CallerConnection> connections = new HashSet<>();

	private RouteTable.Limits limits = RouteTable.Limits.defaults();

	private volatile Optional<Channel> serverChannel = Optional.empty();

	private boolean draining;

	/**
	 * Creates a server without a port.
	 * @param listener takes what callers send
	 */
	public CallerServer(CallerListener listener) {
		this.listener = listener;
	}

	/**
	 * Opens the port.
	 * @param loop the event loop
	 * @param address the address
	 * @return the opening
	 */
	public ChannelFuture bind(EventLoopGroup loop, InetSocketAddress address) {
		ChannelFuture binding = Sockets.bind(loop, address, this::accept);
		this.serverChannel = Optional.of(binding.channel());
		return binding;
	}

	/**
	 * Puts limits in force for requests that begin from now on.
	 * @param newLimits the limits
	 */
	public void setLimits(RouteTable.Limits newLimits) {
		this.limits = newLimits;
	}

	/**
	 * From now on every answer ends its connection.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Closes the port and the connections that are idle, and lets the others end after
	 * their answers. Whoever connects later is turned away before its request is read. A
	 * relay that still took requests while it waits for its last answers would have to
	 * cut them off at the end of its time.
	 */
	public void stopAccepting() {
		this.serverChannel.ifPresent(Channel::close);
		List.copyOf(this.connections).forEach(CallerConnection::drain);
	}

	/**
	 * Returns how many connections are open.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	private void accept(Channel channel) {
		CallerConnection connection = new CallerConnection(this.listener, () -> this.limits, () -> this.draining);
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(connection));
		channel.pipeline()
			.addLast(new HeaderTimeoutHandler(() -> this.limits.headerTimeout()), new StrictRequestDecoder(this.limits),
					new HttpResponseEncoder(), connection);
	}

}
