package io.lentilslip.client;

import java.net.InetSocketAddress;

import io.lentilslip.core.configuration.Endpoint;

/**
 * A maker of endpoints from the addresses that stand-ins listen on.
 */
public final class Endpoints {

	private Endpoints() {
	}

	public static Endpoint of(InetSocketAddress address) {
		return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
	}

}
