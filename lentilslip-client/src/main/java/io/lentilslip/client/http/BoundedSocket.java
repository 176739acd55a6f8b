package io.lentilslip.client.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * A socket that bounds the bytes that are read without progress: without a part of a body
 * that is passed on. The library reads the line of a chunk's size until it ends, and
 * keeps all of it. Read by one thread.
 */
final class BoundedSocket extends Socket {

	/**
	 * Larger than any head and what the library reads ahead.
	 */
	private static final long MAXIMUM_UNPRODUCTIVE_BYTES = 1024 * 1024;

	private long unproductiveBytes;

	/**
	 * Records that a part of a body was passed on.
	 */
	void progressed() {
		this.unproductiveBytes = 0;
	}

	@Override
	public InputStream getInputStream() throws IOException {
		return new FilterInputStream(super.getInputStream()) {

			@Override
			public int read() throws IOException {
				return count(super.read(), 1);
			}

			@Override
			public int read(byte[] bytes, int offset, int length) throws IOException {
				int read = super.read(bytes, offset, length);
				return count(read, read);
			}

		};
	}

	private int count(int result, int bytes) throws IOException {
		this.unproductiveBytes += (result < 0) ? 0 : bytes;
		if (this.unproductiveBytes > MAXIMUM_UNPRODUCTIVE_BYTES) {
			throw new InvalidAnswerException("too many bytes that are no part of a body");
		}
		return result;
	}

	/**
	 * A factory of such sockets, not connected. Safe for use by several threads.
	 */
	static final class Factory extends SocketFactory {

		@Override
		public Socket createSocket() {
			return new BoundedSocket();
		}

		@Override
		public Socket createSocket(String host, int port) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Socket createSocket(String host, int port, InetAddress local, int localPort) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Socket createSocket(InetAddress host, int port) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Socket createSocket(InetAddress host, int port, InetAddress local, int localPort) {
			throw new UnsupportedOperationException();
		}

	}

}
