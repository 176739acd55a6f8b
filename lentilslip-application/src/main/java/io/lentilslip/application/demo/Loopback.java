package io.lentilslip.application.demo;

import java.net.InetSocketAddress;

import io.lentilslip.core.configuration.Endpoint;

/**
 * Addresses on this machine alone. Stateless and safe for use by several threads.
 */
final class Loopback {

	private static final String IP = "127.0.0.1";

	/**
	 * Any free port.
	 */
	static final Endpoint ANY_PORT = endpoint(0);

	private Loopback() {
	}

	/**
	 * Returns the endpoint of a port.
	 * @param port the port
	 * @return the endpoint on this machine
	 */
	static Endpoint endpoint(int port) {
		return new Endpoint(IP, port);
	}

	/**
	 * Returns the endpoint of an address on this machine.
	 * @param address the address
	 * @return the endpoint
	 */
	static Endpoint endpoint(InetSocketAddress address) {
		return endpoint(address.getPort());
	}

}
