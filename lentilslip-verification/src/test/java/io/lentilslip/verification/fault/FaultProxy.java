package io.lentilslip.verification.fault;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP proxy on the loopback interface that brings faults about between two processes.
 * Its address stays while its target changes. A fault applies to the bytes that come
 * after it was set, also on connections that are open. Safe for use by several threads.
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER = 16 * 1024;

	private static final int CONNECT_MILLIS = 2000;

	private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

	private final InetSocketAddress address;

	private volatile InetSocketAddress target;

	private volatile Fault fault = new Fault.None();

	private ServerSocket server;

	private boolean closed;

	private FaultProxy(InetSocketAddress target) {
		this.target = target;
		this.server = listen(0);
		this.address = (InetSocketAddress) this.server.getLocalSocketAddress();
		accept(this.server);
	}

	/**
	 * Opens a proxy without a fault.
	 * @param target where connections go
	 * @return the proxy
	 */
	public static FaultProxy to(InetSocketAddress target) {
		return new FaultProxy(target);
	}

	/**
	 * Returns the address that stands for the target's.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Sends connections that open from now on elsewhere, and cuts those that are open.
	 * @param next the next target
	 */
	public void retarget(InetSocketAddress next) {
		this.target = next;
		cut();
	}

	/**
	 * Changes the fault.
	 * @param next the fault from now on
	 */
	public synchronized void set(Fault next) {
		this.fault = next;
		if (next instanceof Fault.Refuse) {
			close(this.server);
			cut();
		}
		else if (this.server.isClosed() && !this.closed) {
			this.server = listen(this.address.getPort());
			accept(this.server);
		}
	}

	/**
	 * Resets all open connections. New ones may open.
	 */
	public void cut() {
		this.pairs.forEach(Pair::reset);
	}

	private static ServerSocket listen(int port) {
		try {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			return socket;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept(ServerSocket socket) {
		Thread.ofPlatform().daemon().name("fault-proxy").start(() -> {
			while (!socket.isClosed()) {
				try {
					open(socket.accept());
				}
				catch (IOException ex) {
					// The listening socket was closed, or a client has gone already.
				}
			}
		});
	}

	private void open(Socket client) throws IOException {
		client.setTcpNoDelay(true);
		Pair pair = new Pair(client, new Socket());
		this.pairs.add(pair);
		Thread.ofPlatform().daemon().name("fault-proxy-connect").start(pair::connect);
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		close(this.server);
		cut();
	}

	private static void close(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * A way of bytes through the proxy.
	 */
	public enum Direction {

		/**
		 * From the side that connects.
		 */
		TO_TARGET,

		/**
		 * From the side that listens.
		 */
		TO_CLIENT

	}

	/**
	 * What goes wrong. Implementations are immutable, but for the bytes that a reset has
	 * counted.
	 */
	public sealed interface Fault {

		/**
		 * Nothing goes wrong.
		 */
		record None() implements Fault {

		}

		/**
		 * Each piece of bytes is late.
		 *
		 * @param time how late
		 */
		record Delay(Duration time) implements Fault {

		}

		/**
		 * Connections are refused, and the open ones are cut.
		 */
		record Refuse() implements Fault {

		}

		/**
		 * Bytes of both directions are taken and never passed on.
		 */
		record HalfOpen() implements Fault {

		}

		/**
		 * Bytes of one direction are taken and never passed on.
		 *
		 * @param direction the direction
		 */
		record Loss(Direction direction) implements Fault {

		}

		/**
		 * A connection is reset once some bytes have passed in a direction since the
		 * connection opened.
		 *
		 * @param direction the direction
		 * @param bytes the bytes that pass
		 */
		record ResetAfter(Direction direction, long bytes) implements Fault {

		}

	}

	/**
	 * The two connections of one client.
	 */
	private final class Pair {

		private final Socket client;

		private final Socket toTarget;

		Pair(Socket client, Socket toTarget) {
			this.client = client;
			this.toTarget = toTarget;
		}

		void connect() {
			try {
				this.toTarget.connect(FaultProxy.this.target, CONNECT_MILLIS);
				this.toTarget.setTcpNoDelay(true);
			}
			catch (IOException ex) {
				reset();
				return;
			}
			Thread.ofPlatform()
				.daemon()
				.name("fault-proxy-back")
				.start(() -> pass(this.toTarget, this.client, Direction.TO_CLIENT));
			pass(this.client, this.toTarget, Direction.TO_TARGET);
		}

		private void pass(Socket from, Socket to, Direction direction) {
			byte[] buffer = new byte[BUFFER];
			long passed = 0;
			try {
				InputStream input = from.getInputStream();
				OutputStream output = to.getOutputStream();
				for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
					int allowed = allow(direction, passed, count);
					output.write(buffer, 0, allowed);
					output.flush();
					passed += allowed;
					if (FaultProxy.this.fault instanceof Fault.ResetAfter reset && reset.direction() == direction
							&& passed >= reset.bytes()) {
						reset();
						return;
					}
				}
				to.shutdownOutput();
			}
			catch (IOException ex) {
				reset();
			}
		}

		private int allow(Direction direction, long passed, int count) {
			return switch (FaultProxy.this.fault) {
				case Fault.None none -> count;
				case Fault.Refuse refuse -> 0;
				case Fault.HalfOpen halfOpen -> 0;
				case Fault.Delay delay -> {
					LockSupport.parkNanos(delay.time().toNanos());
					yield count;
				}
				case Fault.Loss loss -> (loss.direction() == direction) ? 0 : count;
				case Fault.ResetAfter reset ->
					(reset.direction() == direction) ? (int) Math.clamp(reset.bytes() - passed, 0, count) : count;
			};
		}

		// A close with bytes unread, or with a linger of zero, is a reset for the peer.
		void reset() {
			FaultProxy.this.pairs.remove(this);
			reset(this.client);
			reset(this.toTarget);
		}

		private static void reset(Socket socket) {
			try {
				socket.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// It is closed already.
			}
			FaultProxy.close(socket);
		}

	}

}
