package io.lentilslip.relay.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement.CallerShed.Cause;
import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.relay.net.HeldBytes;
import io.lentilslip.relay.net.Sockets;
import io.lentilslip.relay.store.Timers;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * HTTP server for callers. The number of connections is bounded, so that descriptors
 * remain for connections to upstreams, the store and other relays: at the bound the
 * connection that has been without a request the longest is closed, or else the one whose
 * caller has not read its response the longest. Used by the event loop's thread.
 */
public final class CallerServer {

	private final CallerListener listener;

	private final Timers timers;

	private final HeldBytes heldBytes;

	private final int maxConnections;

	private final Consumer<Cause> shedListener;

	private final CallerConnection.Owner connectionOwner = new ConnectionOwner();

	private final Set<CallerConnection> connections = new HashSet<>();

	/**
	 * The connections without a request that was passed on, since the longest time first.
	 */
	private final Set<CallerConnection> idle = new LinkedHashSet<>();

	/**
	 * The connections whose callers don't read their responses, since the longest time
	 * first.
	 */
	private final Set<CallerConnection> blocked = new LinkedHashSet<>();

	private RouteTable.Limits limits = RouteTable.Limits.defaults();

	private volatile Optional<Channel> serverChannel = Optional.empty();

	private boolean draining;

	/**
	 * Creates a server that is not yet bound.
	 * @param listener receives the requests
	 * @param timers the clock
	 * @param heldBytes bounds what is held for callers
	 * @param maxConnections the maximum number of connections
	 * @param shedListener is called when a caller is refused or its connection closed for
	 * lack of resources
	 */
	public CallerServer(CallerListener listener, Timers timers, HeldBytes heldBytes, int maxConnections,
			Consumer<Cause> shedListener) {
		this.maxConnections = maxConnections;
		this.heldBytes = heldBytes;
		this.shedListener = shedListener;
		this.listener = listener;
		this.timers = timers;
	}

	/**
	 * Binds the server socket.
	 * @param loop the event loop
	 * @param address the address
	 * @return the future of the server socket
	 */
	public ChannelFuture bind(EventLoopGroup loop, InetSocketAddress address) {
		ChannelFuture binding = Sockets.bind(loop, address, this::accept);
		this.serverChannel = Optional.of(binding.channel());
		return binding;
	}

	/**
	 * Sets the limits for requests that begin from now on. The header size limit applies
	 * to new connections only.
	 * @param newLimits the limits
	 */
	public void setLimits(RouteTable.Limits newLimits) {
		this.limits = newLimits;
	}

	/**
	 * Closes each connection after its next response.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Closes the server socket and all idle connections, and the others after their
	 * response. New connections are then refused before a request is sent; a request
	 * accepted this late could be aborted when the drain times out.
	 */
	public void stopAccepting() {
		this.serverChannel.ifPresent(Channel::close);
		List.copyOf(this.connections).forEach(CallerConnection::drain);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	private void accept(Channel channel) {
		if (this.connections.size() >= this.maxConnections && !closeOne()) {
			this.shedListener.accept(Cause.CONNECTIONS);
			channel.close();
			return;
		}
		CallerConnection connection = new CallerConnection(this.listener, this.timers, () -> this.limits,
				() -> this.draining, this.heldBytes, this.connectionOwner);
		this.connections.add(connection);
		this.idle.add(connection);
		channel.closeFuture().addListener((closed) -> remove(connection));
		channel.pipeline()
			.addLast(new HeaderTimeoutHandler(() -> this.limits.headerTimeout()),
					StrictRequestDecoder.of(this.limits, connection), new HttpResponseEncoder(), connection);
	}

	private boolean closeOne() {
		Optional<CallerConnection> oldest = this.idle.stream().findFirst().or(() -> this.blocked.stream().findFirst());
		oldest.ifPresent((connection) -> {
			remove(connection);
			connection.shed();
		});
		return oldest.isPresent();
	}

	private void remove(CallerConnection connection) {
		this.connections.remove(connection);
		this.idle.remove(connection);
		this.blocked.remove(connection);
	}

	/**
	 * Tracks which connections have a request. Used by the event loop's thread.
	 */
	private final class ConnectionOwner implements CallerConnection.Owner {

		@Override
		public void requestAccepted(CallerConnection connection) {
			CallerServer.this.idle.remove(connection);
		}

		@Override
		public void responseSent(CallerConnection connection) {
			CallerServer.this.blocked.remove(connection);
			CallerServer.this.idle.add(connection);
		}

		@Override
		public void readingChanged(CallerConnection connection, boolean reading) {
			if (reading || !CallerServer.this.connections.contains(connection)) {
				CallerServer.this.blocked.remove(connection);
				return;
			}
			CallerServer.this.blocked.add(connection);
		}

		@Override
		public void shed(Cause cause) {
			CallerServer.this.shedListener.accept(cause);
		}

	}

}
